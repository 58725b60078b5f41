#pragma once

#include <functional>
#include <memory>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** A pending call of Scheduler. Destroying it cancels the call; keep it as long as it is wanted. */
class ScheduledCall {
 public:
  virtual ~ScheduledCall() = default;
};

/** Runs a call later on the thread that owns the scheduler.

    The decision core takes all its timers from here, so that VirtualTime can replay any schedule.
    A call is never run from inside ScheduleAfter, not even with a delay of zero.
*/
class Scheduler {
 public:
  virtual ~Scheduler() = default;
  [[nodiscard]] virtual std::unique_ptr<ScheduledCall> ScheduleAfter(
      Duration delay,
      std::function<void()> call) = 0;
};

}  // namespace zinnia
