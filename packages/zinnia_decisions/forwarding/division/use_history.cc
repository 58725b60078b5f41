#include "zinnia_decisions/forwarding/division/use_history.h"

namespace zinnia {
namespace {

/** Bounds the number of changes that are kept of one server. */
constexpr Duration kResolution = std::chrono::milliseconds(100);

}  // namespace

void UseHistory::Set(const BackendServerName& server, const ServerUse& use) {
  const TimePoint now = m_clock.Now();
  Changes& changes = m_changes[server];
  if (!changes.empty() && now - changes.back().first < kResolution) {
    changes.back().second = use;
  } else {
    changes.emplace_back(now, use);
  }
  while (changes.size() > 1 && now - changes[1].first >= kAge) {
    changes.pop_front();
  }
}

ServerUse UseHistory::PastUse(const BackendServerName& server) const {
  ServerUse past;
  const auto found = m_changes.find(server);
  if (found != m_changes.end()) {
    for (const auto& [changed_at, use] : found->second) {
      if (m_clock.Now() - changed_at >= kAge) {
        past = use;
      }
    }
  }
  return past;
}

void UseHistory::RemoveExpired() {
  std::erase_if(m_changes, [now = m_clock.Now()](const auto& server) {
    const auto& [changed_at, use] = server.second.back();
    return use.requests == 0 && now - changed_at >= kAge;
  });
}

}  // namespace zinnia
