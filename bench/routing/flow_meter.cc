#include "bench/routing/flow_meter.h"

#include <algorithm>

namespace zinnia::bench {
namespace {

float Seconds(Duration duration) {
  return std::chrono::duration<float>(duration).count();
}

}  // namespace

void FlowMeter::OnToken(const OfferedRequest&, Duration since_last, bool first) {
  if (IsMeasured()) {
    m_tokens += 1.0;
    (first ? m_first_tokens : m_between_tokens).push_back(Seconds(since_last));
  }
}

void FlowMeter::OnAnswered(const OfferedRequest& request, bool steady) {
  if (IsMeasured()) {
    m_answered += 1.0;
    m_in_time += steady ? 1.0 : 0.0;
    m_tokens_in_time += steady ? request.answer_tokens : 0.0;
  }
}

void FlowMeter::OnRefused(const OfferedRequest&, const Error&, bool) {
  m_refused += IsMeasured() ? 1.0 : 0.0;
}

void FlowMeter::OnFailed(const OfferedRequest&) {
  m_refused += IsMeasured() ? 1.0 : 0.0;
}

double FlowMeter::TokensPerSecond() const {
  return m_tokens / Seconds(m_end - m_begin);
}

double FlowMeter::TokensPerSecondInTime() const {
  return m_tokens_in_time / Seconds(m_end - m_begin);
}

double FlowMeter::InTimePercent() const {
  return 100.0 * m_in_time / std::max(1.0, m_answered);
}

double FlowMeter::RefusedPercent() const {
  return 100.0 * m_refused / std::max(1.0, m_answered + m_refused);
}

bool FlowMeter::IsMeasured() const {
  return m_clock->Now() >= m_begin && m_clock->Now() < m_end;
}

double FlowMeter::P95Milliseconds(std::vector<float> seconds) {
  if (seconds.empty()) {
    return 0.0;
  }
  const auto p95 = seconds.begin() + static_cast<std::ptrdiff_t>(seconds.size() * 95 / 100);
  std::ranges::nth_element(seconds, p95);
  return 1'000.0 * *p95;
}

}  // namespace zinnia::bench
