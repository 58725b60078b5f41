#pragma once

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/control/callback_guard.h"
#include "zinnia_decisions/ports/engine_orders.h"

namespace zinnia {

/** How often engines are asked for their state. */
struct EnginePollSettings {
  Duration interval = std::chrono::seconds(1);
  std::size_t max_polls_per_second = 32;
};

/** Asks the engines of the subset for their state in turn, at a bounded rate whatever their number.

    With many servers each is asked less often by one instance, but by more instances.
*/
class EnginePoller {
 public:
  using Answer = std::function<void(const BackendServerName&, const Result<EngineState>&)>;

  EnginePoller(EnginePollSettings settings,
               Scheduler& scheduler,
               EngineOrders& engines,
               Answer answer);

  void Start();

  /** Servers to ask from now on. New ones are asked first. */
  void SetServers(std::set<BackendServerName> servers);

  /** Whether every server has answered, or failed to, since it was given to SetServers. */
  bool HasPolledAll() const { return m_awaiting_first_answer.empty(); }

 private:
  void Tick();
  void Ask(const BackendServerName& server);

  const EnginePollSettings m_settings;
  Scheduler& m_scheduler;
  EngineOrders& m_engines;
  const Answer m_answer;
  std::set<BackendServerName> m_servers;
  std::vector<BackendServerName> m_poll_queue;
  std::set<BackendServerName> m_waiting;
  std::set<BackendServerName> m_awaiting_first_answer;
  double m_credit = 0.0;
  std::unique_ptr<ScheduledCall> m_tick_call;
  CallbackGuard m_guard;
};

}  // namespace zinnia
