#include "zinnia_decisions/forwarding/observed_state/prefill_backlog.h"

#include <algorithm>

namespace zinnia {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

/** Idle servers are removed once the map holds this many entries. */
constexpr std::size_t kMaxServers = 1'024;

}  // namespace

void PrefillBacklog::Add(const BackendServerName& server, double work_ms) {
  const TimePoint now = m_clock.Now();
  if (m_busy_until.size() >= kMaxServers) {
    std::erase_if(m_busy_until, [now](const auto& entry) { return entry.second < now; });
  }
  TimePoint& until = m_busy_until[server];
  until = std::max(until, now) + std::chrono::duration_cast<Duration>(Milliseconds(work_ms));
}

double PrefillBacklog::WaitMs(const BackendServerName& server) const {
  const auto found = m_busy_until.find(server);
  if (found == m_busy_until.end()) {
    return 0.0;
  }
  return std::max(0.0, Milliseconds(found->second - m_clock.Now()).count());
}

}  // namespace zinnia
