#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "zinnia_adapters/http/backend_connection.h"
#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/admission/retry_budget.h"
#include "zinnia_world/contracts/service_contract.h"

namespace zinnia {

class Clock;
class SnapshotSource;

/** A call to a plain service. With `may_repeat` unset it reaches at most one server. */
struct ServiceCall {
  OrganisationName organisation;
  ServiceContract contract;
  BackendRequest request;
  bool may_repeat = false;

  /** No byte is sent after this. */
  std::optional<TimePoint> dispatch_before;
};

/** Sends calls to the servers of plain services: to the live one with the least in flight from
    here.

    While no byte was sent (refused, unreachable) another server is tried. Afterwards a call that
    may be repeated is tried elsewhere within the retry budget; any other ends with kOutcomeUnknown,
    as a lost connection does not tell whether the call was run.

    Belongs to one traffic thread.
*/
class ServiceForwarder : public std::enable_shared_from_this<ServiceForwarder> {
 public:
  using Callback = std::function<void(Result<BackendResponse>)>;

  static std::shared_ptr<ServiceForwarder> Create(boost::asio::io_context& loop,
                                                  const Clock& clock,
                                                  const SnapshotSource& snapshots);

  /** The error's was_run is kNo only if no byte went to any server. The callback is never run from
      inside the call. */
  void Forward(ServiceCall call, Callback callback);

 private:
  struct Attempt;
  using AttemptPointer = std::shared_ptr<Attempt>;

  ServiceForwarder(boost::asio::io_context& loop,
                   const Clock& clock,
                   const SnapshotSource& snapshots);

  void Try(const AttemptPointer& attempt);
  std::optional<BackendServerName> Choose(const Attempt& attempt) const;
  std::shared_ptr<BackendConnection> Connect(const Attempt& attempt,
                                             const BackendServerName& server);
  void OnOutcome(const AttemptPointer& attempt,
                 const std::shared_ptr<BackendConnection>& connection,
                 ExchangeOutcome outcome);
  void Keep(const BackendServerName& server, std::shared_ptr<BackendConnection> connection);
  void Finish(const AttemptPointer& attempt, Result<BackendResponse> result);

  boost::asio::io_context& m_loop;
  const Clock& m_clock;
  const SnapshotSource& m_snapshots;
  std::map<BackendServerName, std::uint32_t> m_in_flight;
  std::map<BackendServerName, std::vector<std::shared_ptr<BackendConnection>>> m_idle;
  RetryBudget m_retry_budget;
};

}  // namespace zinnia
