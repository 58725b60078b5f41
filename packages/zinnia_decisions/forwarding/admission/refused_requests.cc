#include "zinnia_decisions/forwarding/admission/refused_requests.h"

namespace zinnia {

void RefusedRequests::OnRefused(const Fingerprint& request, Duration retry_after) {
  Forget();
  const TimePoint expires_at = m_clock.Now() + retry_after + kMaxDelay;
  m_refusals.emplace(request, expires_at);
  m_expiries.emplace_back(expires_at, request);
}

bool RefusedRequests::TakeReturn(const Fingerprint& request) {
  const TimePoint now = m_clock.Now();
  const auto [begin, end] = m_refusals.equal_range(request);
  for (auto refusal = begin; refusal != end; ++refusal) {
    if (refusal->second >= now) {
      m_refusals.erase(refusal);
      return true;
    }
  }
  return false;
}

void RefusedRequests::Forget() {
  const TimePoint now = m_clock.Now();
  while (!m_expiries.empty() &&
         (m_expiries.size() >= kMaxRemembered || m_expiries.front().first < now)) {
    const auto& [expires_at, request] = m_expiries.front();
    const auto [begin, end] = m_refusals.equal_range(request);
    for (auto refusal = begin; refusal != end; ++refusal) {
      if (refusal->second == expires_at) {
        m_refusals.erase(refusal);
        break;
      }
    }
    m_expiries.pop_front();
  }
}

}  // namespace zinnia
