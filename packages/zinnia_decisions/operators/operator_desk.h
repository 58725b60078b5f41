#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/operators/configuration_change_request.h"
#include "zinnia_decisions/operators/table_data.h"
#include "zinnia_decisions/operators/table_kind.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** The subjects of an explain command. */
enum class ExplainKind { kSession, kRequest };

constexpr std::string_view NameOf(ExplainKind kind) {
  return kind == ExplainKind::kSession ? "session" : "request";
}

/** A role that one instance holds by a lease and epoch, such as the partition "once/3". */
struct RoleMove {
  std::string role;
  InstanceName to;
};

/** Interface for operators' commands to the running system, implemented by the daemon.

    Each callback runs exactly once, either from inside the call or later, on any thread. Calls come
    from the threads of the operators' server.

    @see CommandExecutor, OperatorServer
*/
class OperatorDesk {
 public:
  using TableCallback = std::function<void(Result<TableData>)>;
  using ChangeCallback = std::function<void(Result<ConfigurationRevision>)>;
  using EntryCallback = std::function<void(Result<CurrentConfigurationEntry>)>;
  using DoneCallback = std::function<void(Result<void>)>;
  using ExplainCallback = std::function<void(Result<std::vector<DecisionRecord>>)>;

  virtual ~OperatorDesk() = default;

  /** The whole table as this instance sees it; the caller filters and sorts. */
  virtual void Table(TableKind kind, TableCallback callback) = 0;

  /** Requests a change. On success it is written durably and takes effect within seconds. Fails
      with kRevisionConflict, kStoreUnavailable or kStoreOutcomeUnknown, or kInvalidRequest for an
     entry that Configuration::Parse rejects. */
  virtual void Change(ConfigurationChangeRequest request, ChangeCallback callback) = 0;

  /** Reads one entry, for edits of single fields. An empty path returns only the revision. */
  virtual void CurrentEntry(std::string path, EntryCallback callback) = 0;

  virtual void MoveRole(RoleMove move, DoneCallback callback) = 0;

  /** The decisions about one session or request, oldest first. Fails with kNotFound. */
  virtual void Explain(ExplainKind kind, std::string id, ExplainCallback callback) = 0;
};

}  // namespace zinnia
