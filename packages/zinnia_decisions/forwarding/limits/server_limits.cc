#include "zinnia_decisions/forwarding/limits/server_limits.h"

#include <algorithm>

namespace zinnia {

bool ServerLimits::OnAnswer(const BackendServerName& server,
                            std::optional<double> requests_per_second,
                            TimePoint sent_at) {
  const auto found = m_beliefs.find(server);
  const bool had_limit = found != m_beliefs.end() && found->second.requests_per_second;
  if (!requests_per_second) {
    // An answer to a request from before the limit was heard may have left before it was named.
    if (!had_limit || sent_at <= found->second.known_at) {
      return false;
    }
    found->second = {std::nullopt, m_clock.Now()};
    return true;
  }
  const bool is_change = !had_limit || found->second.requests_per_second != requests_per_second;
  m_beliefs[server] = {requests_per_second, m_clock.Now()};
  return is_change;
}

std::size_t ServerLimits::CountInForce() const {
  return static_cast<std::size_t>(std::count_if(
      m_beliefs.begin(), m_beliefs.end(),
      [](const auto& entry) { return entry.second.requests_per_second.has_value(); }));
}

}  // namespace zinnia
