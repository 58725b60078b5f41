#include "zinnia_decisions/forwarding/crashes/recent_requests.h"

#include <algorithm>
#include <utility>

namespace zinnia {
namespace {

/** Maximum size of each of the two maps. */
constexpr std::size_t kMaxRequests = 4'096;

}  // namespace

void RecentRequests::Add(const Fingerprint& request, TimePoint ended_at) {
  const TimePoint now = m_clock.Now();
  if (now - m_began_at >= kLifetime) {
    m_previous = std::exchange(m_current, {});
    m_began_at = now;
  }
  const auto known = m_current.find(request);
  if (known != m_current.end()) {
    known->second = std::max(known->second, ended_at);
  } else if (m_current.size() < kMaxRequests) {
    m_current.emplace(request, ended_at);
  }
}

std::optional<TimePoint> RecentRequests::LastEndOf(const Fingerprint& request) const {
  std::optional<TimePoint> last;
  for (const Ends* ends : {&m_current, &m_previous}) {
    const auto found = ends->find(request);
    if (found != ends->end() && m_clock.Now() - found->second < kLifetime) {
      last = std::max(last.value_or(found->second), found->second);
    }
  }
  return last;
}

}  // namespace zinnia
