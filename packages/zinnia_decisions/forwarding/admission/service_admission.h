#pragma once

#include <cstddef>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/random/random_source.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/admission/admission_queue.h"
#include "zinnia_decisions/forwarding/admission/class_demand.h"
#include "zinnia_decisions/forwarding/admission/class_headroom.h"
#include "zinnia_decisions/forwarding/admission/refused_requests.h"
#include "zinnia_decisions/forwarding/admission/retry_schedule.h"
#include "zinnia_decisions/forwarding/admission/start_rate.h"

namespace zinnia {

/** Admission to one prioritized service at this instance.

    Call OnArrival first for every request. A request for which MustWait is false looks for capacity
    at once; if it finds some, call OnStarted, else OnNoRoom and Queue().Enter. Queued requests are
    tried in the order of the queue. Each refusal is told to OnRefused.

    Not thread-safe; belongs to one traffic thread.
*/
class ServiceAdmission {
 public:
  /** Both references must outlive the object. */
  ServiceAdmission(const Clock& clock, RandomSource& random);
  ServiceAdmission(const ServiceAdmission&) = delete;
  ServiceAdmission& operator=(const ServiceAdmission&) = delete;

  void SetPool(const PoolUse& use) { m_headroom.SetPool(use); }
  void SetUtilization(double ratio) { m_utilization = ratio; }

  /** Whether a request of the class may start although the pool is as full as it is. The chance
      falls from 1 to 0 around the class's share of the pool. Without it, a less urgent class would
      fill servers that urgent requests need shortly after. */
  bool MayStart(std::size_t request_class);

  /** Sets whether the caller of `request` has returned after a refusal. */
  void OnArrival(ClassRequest& request, const Fingerprint& fingerprint);

  /** Share of the pool's capacity up to which requests of the class start; see MayStart. */
  double ShareOf(std::size_t request_class) const { return m_headroom.ShareOf(request_class); }

  /** See ClassDemand. */
  double ServedRatio(std::size_t request_class) const {
    return m_demand.ServedRatio(request_class);
  }

  bool MustWait(const ClassRequest& request) const { return m_queue.HasAhead(request); }
  AdmissionQueue& Queue() { return m_queue; }

  void OnNoRoom() { m_start_rate.OnNoRoom(); }
  void OnStarted(const ClassRequest& request);

  /** Returns when the caller, who has `time_left` for the answer, should retry. */
  Duration OnRefused(const ClassRequest& request,
                     const Fingerprint& fingerprint,
                     Duration time_left);

  /** Whether a decision may be logged now; limits the lines per second. */
  bool TakeLogLine();

 private:
  const Clock& m_clock;
  RandomSource& m_random;
  double m_utilization = 0.0;
  ClassDemand m_demand;
  ClassHeadroom m_headroom;
  StartRate m_start_rate;
  AdmissionQueue m_queue;
  RefusedRequests m_refused;
  RetrySchedule m_retries;
  TimePoint m_log_second_began_at{};
  int m_lines_in_second = 0;
};

}  // namespace zinnia
