#include "zinnia_decisions/forwarding/admission/class_request.h"

#include <algorithm>

#include "zinnia_decisions/forwarding/admission/capacity_queue.h"

namespace zinnia {
namespace {

/** A refusal later than this part of the latency objective leaves callers too little time to go
    elsewhere. */
constexpr int kRefusedWithinPartOfObjective = 8;

/** Part of the caller's time that a request may wait. */
constexpr int kWaitsForPartOfTimeLeft = 3;

}  // namespace

void SetWaitLimits(ClassRequest& request, Duration latency_objective, TimePoint caller_deadline) {
  const Duration time_left =
      std::max<Duration>(caller_deadline - request.arrived_at, Duration::zero());
  request.start_deadline = request.arrived_at + latency_objective / 2;
  request.wait_ends_at =
      request.arrived_at + std::min({CapacityQueue::kMaxWait, latency_objective / 2,
                                     time_left / kWaitsForPartOfTimeLeft});
  request.refuse_at = std::min(
      request.arrived_at + latency_objective / kRefusedWithinPartOfObjective, request.wait_ends_at);
}

}  // namespace zinnia
