#include "zinnia_decisions/forwarding/limits/server_pauses.h"

#include <algorithm>
#include <utility>

namespace zinnia {
namespace {

bool HadStartedBy(const ServerEntry& server, WallTimePoint time) {
  const auto unix_time =
      std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
  return server.started_at_ms > 0 &&
         server.started_at_ms < static_cast<std::uint64_t>(unix_time.count());
}

}  // namespace

void ServerPauses::OnPauseRequested(const BackendServerName& server,
                                    Duration pause,
                                    const std::string& registration) {
  Pause& known = m_pauses[server];
  known.ends_at =
      std::max(known.ends_at, m_clock.Now() + std::clamp(pause, Duration::zero(), kMaxPause));
  known.asked_at = m_clock.WallNow();
  known.registration = registration;
}

void ServerPauses::MoveToKnownIncarnations(
    const std::map<BackendServerName, ServerEntry>& servers) {
  std::map<BackendServerName, Pause> moved;
  for (const auto& [name, pause] : m_pauses) {
    if (pause.registration.empty() || servers.contains(name)) {
      continue;
    }
    const auto other = std::find_if(servers.begin(), servers.end(),
                                    [&registration = pause.registration](const auto& entry) {
                                      return entry.second.registration == registration;
                                    });
    if (other != servers.end() && HadStartedBy(other->second, pause.asked_at)) {
      moved[other->first] = pause;
    }
  }
  for (auto& [name, pause] : moved) {
    Pause& known = m_pauses[name];
    if (pause.ends_at > known.ends_at) {
      known = std::move(pause);
    }
  }
}

Duration ServerPauses::TimeLeft(const BackendServerName& server) const {
  const auto found = m_pauses.find(server);
  if (found == m_pauses.end()) {
    return Duration::zero();
  }
  return std::max(Duration::zero(), found->second.ends_at - m_clock.Now());
}

std::size_t ServerPauses::CountInForce() const {
  const TimePoint now = m_clock.Now();
  return static_cast<std::size_t>(
      std::count_if(m_pauses.begin(), m_pauses.end(),
                    [now](const auto& entry) { return entry.second.ends_at > now; }));
}

void ServerPauses::Prune() {
  const TimePoint now = m_clock.Now();
  std::erase_if(m_pauses, [now](const auto& entry) { return entry.second.ends_at <= now; });
}

}  // namespace zinnia
