#pragma once

#include <functional>
#include <memory>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Handle of a call scheduled by a Scheduler. Destroying the handle cancels the call. */
class ScheduledCall {
 public:
  virtual ~ScheduledCall() = default;
};

/** Runs calls after a delay, on the thread that owns the scheduler.

    The decision core uses no other timers, so that VirtualTime can reproduce any schedule.
    ScheduleAfter never runs the call itself, even if the delay is zero.
*/
class Scheduler {
 public:
  virtual ~Scheduler() = default;
  [[nodiscard]] virtual std::unique_ptr<ScheduledCall> ScheduleAfter(
      Duration delay,
      std::function<void()> call) = 0;
};

}  // namespace zinnia
