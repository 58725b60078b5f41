#include "zinnia_decisions/forwarding/crashes/released_attempts.h"

#include <utility>

namespace zinnia {
namespace {

/** A caller that comes back later than this is no sign of a crash. */
constexpr Duration kLifetime = std::chrono::seconds(10);

constexpr std::size_t kMaxRequests = 1'024;

}  // namespace

std::vector<BrokenAttempt> ReleasedAttempts::Add(const BrokenAttempt& attempt) {
  ForgetOld();
  const bool is_known = m_requests.contains(attempt.request);
  if (!is_known && m_requests.size() >= kMaxRequests) {
    return {};
  }
  Request& request = m_requests[attempt.request];
  request.released_at = m_clock.Now();
  request.unprobed.push_back(attempt);
  return is_known ? std::exchange(request.unprobed, {}) : std::vector<BrokenAttempt>();
}

void ReleasedAttempts::ForgetOld() {
  const TimePoint now = m_clock.Now();
  std::erase_if(m_requests, [now](const auto& request) {
    return now - request.second.released_at >= kLifetime;
  });
}

}  // namespace zinnia
