#pragma once

#include <functional>
#include <vector>

#include "zinnia_decisions/operators/operator_desk.h"
#include "zinnia_decisions/sessions/session_driver.h"

namespace zinnia {

class ControlSide;
class DecisionLog;
class HistogramMetrics;

/** Answers the operators' commands from the running instance.

    Lives on the operators' thread; asks the control thread and the traffic threads by posting, and
    answers back on the operators' thread.
*/
class DaemonOperatorDesk final : public OperatorDesk {
 public:
  using Post = std::function<void(std::function<void()>)>;
  using SessionsCallback = std::function<void(std::vector<SessionStatus>)>;

  struct Parts {
    Post to_control;
    Post to_operators;
    ControlSide& control;
    const DecisionLog& decisions;
    const HistogramMetrics& metrics;

    /** Collects the sessions of all traffic threads; calls back on any thread. */
    std::function<void(SessionsCallback)> collect_sessions;
  };

  explicit DaemonOperatorDesk(Parts parts);

  void Table(TableKind kind, TableCallback callback) override;
  void Change(ConfigurationChangeRequest request, ChangeCallback callback) override;
  void CurrentEntry(std::string path, EntryCallback callback) override;
  void MoveRole(RoleMove move, DoneCallback callback) override;
  void Explain(ExplainKind kind, std::string id, ExplainCallback callback) override;

 private:
  void TableFromControl(TableKind kind, TableCallback callback);
  void SessionsTable(TableCallback callback);

  const Parts m_parts;
};

}  // namespace zinnia
