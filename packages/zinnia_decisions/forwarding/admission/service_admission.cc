#include "zinnia_decisions/forwarding/admission/service_admission.h"

namespace zinnia {
namespace {

/** Log lines per second about waiting and refused requests of one service. */
constexpr int kMaxLogLinesPerSecond = 10;

/** Range of utilization over which a class yields. */
constexpr double kYieldRange = 0.16;

}  // namespace

ServiceAdmission::ServiceAdmission(const Clock& clock, RandomSource& random)
    : m_clock(clock),
      m_random(random),
      m_demand(clock),
      m_headroom(m_demand),
      m_start_rate(clock),
      m_queue(clock, m_headroom, m_start_rate),
      m_refused(clock),
      m_retries(clock, random) {}

void ServiceAdmission::OnArrival(ClassRequest& request, const Fingerprint& fingerprint) {
  m_demand.OnArrival(request.request_class, request.work);
  request.is_returning = m_refused.TakeReturn(fingerprint);
}

void ServiceAdmission::OnStarted(const ClassRequest& request) {
  m_demand.OnStarted(request.request_class);
  m_start_rate.OnStarted(request.request_class);
  m_queue.OnStarted(request);
}

Duration ServiceAdmission::OnRefused(const ClassRequest& request,
                                     const Fingerprint& fingerprint,
                                     Duration time_left) {
  RefusedClassRequest refused;
  refused.request_class = request.request_class;
  refused.is_ahead_of_others = m_queue.IsAheadOfOthers(request);
  refused.time_left = time_left;
  refused.starts_per_second = m_start_rate.PerSecond(request.request_class);
  for (std::size_t other = 0; other <= request.request_class; ++other) {
    refused.waiting_ahead += m_queue.CountOf(other);
  }
  const Duration retry_after = m_retries.OnRefused(refused);
  m_refused.OnRefused(fingerprint, retry_after);
  return retry_after;
}

bool ServiceAdmission::MayStart(std::size_t request_class) {
  const double share = ShareOf(request_class);
  const double limit = share + kYieldRange * (RandomUnit(m_random) - 0.5);
  return share >= 1.0 || m_utilization < limit;
}

bool ServiceAdmission::TakeLogLine() {
  const TimePoint now = m_clock.Now();
  if (now - m_log_second_began_at >= std::chrono::seconds(1)) {
    m_log_second_began_at = now;
    m_lines_in_second = 0;
  }
  return m_lines_in_second++ < kMaxLogLinesPerSecond;
}

}  // namespace zinnia
