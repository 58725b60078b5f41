#pragma once

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/control/callback_guard.h"
#include "zinnia_decisions/ports/engine_orders.h"

namespace zinnia {

struct EnginePollSettings {
  Duration interval = std::chrono::seconds(1);
  std::size_t max_polls_per_second = 32;
};

/** Polls the engines of the subset for their state in turn, at a bounded total rate. */
class EnginePoller {
 public:
  using Answer = std::function<void(const BackendServerName&, const Result<EngineState>&)>;

  EnginePoller(EnginePollSettings settings,
               Scheduler& scheduler,
               EngineOrders& engines,
               Answer answer);

  void Start();

  /** Replaces the servers to poll. New ones are polled first. */
  void SetServers(std::set<BackendServerName> servers);

  /** Whether the first poll of every server has completed or failed. */
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
