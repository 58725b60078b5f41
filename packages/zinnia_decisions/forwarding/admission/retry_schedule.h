#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "zinnia_base/random/random_source.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/admission/retry_after_planner.h"

namespace zinnia {

/** What a Retry-After value depends on. */
struct RefusedClassRequest {
  std::size_t request_class = 0;

  /** See AdmissionQueue::IsAheadOfOthers. */
  bool is_ahead_of_others = false;

  /** Time until the caller stops waiting for the answer. */
  Duration time_left{};

  /** Requests that wait and are as urgent or more urgent. */
  std::size_t waiting_ahead = 0;

  /** Starts per second available to the class, if known. */
  std::optional<double> starts_per_second;
};

/** Tells refused callers when to return, so that they come back one after the other.

    Each refusal reserves the next free slot of its class, at the rate at which the class was able
   to start. Slots begin after the predicted backlog and after those of more urgent classes. Within
   a class, organisations that have received more than others return after them, since whoever asks
    often is more likely to find freed capacity. The delay
    is random where slots are used up, and at most a third of the time the caller has left.
*/
class RetrySchedule {
 public:
  /** Part of the caller's remaining time that it may be told to stay away. */
  static constexpr int kPartOfTimeLeft = 3;

  /** Both references must outlive the object. */
  RetrySchedule(const Clock& clock, RandomSource& random) : m_clock(clock), m_random(random) {}

  Duration OnRefused(const RefusedClassRequest& request);

 private:
  const Clock& m_clock;
  RandomSource& m_random;
  std::vector<RetryAfterPlanner> m_planners;
};

}  // namespace zinnia
