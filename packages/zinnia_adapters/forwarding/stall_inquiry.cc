#include "zinnia_adapters/forwarding/stall_inquiry.h"

#include <utility>

namespace zinnia {

void StallInquiry::Ask(const PathPart& first, Callback callback) {
  Inquiry& inquiry = m_inquiries[first.server];
  const bool fresh =
      inquiry.answered_at != TimePoint() && m_clock.Now() - inquiry.answered_at < kReportLifetime;
  if (!inquiry.in_flight && fresh) {
    callback(inquiry.report);
    return;
  }
  inquiry.waiting.push_back(std::move(callback));
  if (inquiry.in_flight) {
    return;
  }
  inquiry.in_flight = true;
  m_calls.ReadReport(first, [this, server = first.server](Result<EngineReport> report) {
    Inquiry& answered = m_inquiries[server];
    answered.in_flight = false;
    answered.answered_at = m_clock.Now();
    answered.report = std::move(report);
    const Result<EngineReport> result = answered.report;
    for (const Callback& waiting : std::exchange(answered.waiting, {})) {
      waiting(result);
    }
  });
}

}  // namespace zinnia
