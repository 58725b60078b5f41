#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <utility>

#include "zinnia_base/time/scheduler.h"

namespace zinnia {

/** A clock and scheduler whose time moves only when told: tests and benchmarks run hours of
    failures in milliseconds, in the same order every time.

    Calls due at the same time run in the order in which they were scheduled. Not thread safe.
*/
class VirtualTime final : public Clock, public Scheduler {
 public:
  VirtualTime();
  ~VirtualTime() override;

  TimePoint Now() const override { return m_now; }
  WallTimePoint WallNow() const override;
  std::unique_ptr<ScheduledCall> ScheduleAfter(Duration delay, std::function<void()> call) override;

  /** Runs everything due up to `duration` from now, then stands at that time. */
  void AdvanceBy(Duration duration);

  /** Runs the next call, moving the time to it. Returns false if nothing is scheduled. */
  bool RunNext();

 private:
  class Call;
  using Queue = std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>>;

  TimePoint m_now{};
  std::uint64_t m_next_sequence = 0;
  std::shared_ptr<Queue> m_queue;
};

}  // namespace zinnia
