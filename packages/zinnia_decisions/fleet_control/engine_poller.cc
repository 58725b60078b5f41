#include "zinnia_decisions/fleet_control/engine_poller.h"

#include <algorithm>
#include <utility>

namespace zinnia {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(250);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

EnginePoller::EnginePoller(EnginePollSettings settings,
                           Scheduler& scheduler,
                           EngineOrders& engines,
                           Answer answer)
    : m_settings(settings),
      m_scheduler(scheduler),
      m_engines(engines),
      m_answer(std::move(answer)) {}

void EnginePoller::Start() {
  Tick();
}

void EnginePoller::SetServers(std::set<BackendServerName> servers) {
  for (const BackendServerName& server : servers) {
    if (!m_servers.contains(server)) {
      m_poll_queue.push_back(server);
      m_awaiting_first_answer.insert(server);
    }
  }
  std::erase_if(m_awaiting_first_answer,
                [&](const auto& server) { return !servers.contains(server); });
  m_servers = std::move(servers);
}

void EnginePoller::Tick() {
  m_tick_call = m_scheduler.ScheduleAfter(kTick, [this] { Tick(); });
  const double wanted = static_cast<double>(m_servers.size()) / Seconds(m_settings.interval);
  const double rate = std::min(wanted, static_cast<double>(m_settings.max_polls_per_second));
  m_credit = std::min(m_credit + rate * Seconds(kTick), std::max(rate, 1.0));
  while (m_credit >= 1.0 && !m_servers.empty()) {
    if (m_poll_queue.empty()) {
      m_poll_queue.assign(m_servers.rbegin(), m_servers.rend());
    }
    const BackendServerName server = std::move(m_poll_queue.back());
    m_poll_queue.pop_back();
    m_credit -= 1.0;
    if (m_servers.contains(server) && !m_waiting.contains(server)) {
      Ask(server);
    }
  }
}

void EnginePoller::Ask(const BackendServerName& server) {
  m_waiting.insert(server);
  m_engines.ReadState(server, m_guard.Wrap([this, server](const Result<EngineState>& state) {
    m_waiting.erase(server);
    m_awaiting_first_answer.erase(server);
    m_answer(server, state);
  }));
}

}  // namespace zinnia
