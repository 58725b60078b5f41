#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "zinnia_base/time/scheduler.h"

namespace zinnia::bench {

/** Virtual time for millions of events: like VirtualTime, with a heap and calls that need no
    handle. Calls due at the same time run in the order in which they were posted. */
class SimulationTime final : public Clock, public Scheduler {
 public:
  TimePoint Now() const override { return m_now; }
  WallTimePoint WallNow() const override { return WallTimePoint{m_now.time_since_epoch()}; }
  std::unique_ptr<ScheduledCall> ScheduleAfter(Duration delay, std::function<void()> call) override;

  /** Runs the call after that time; it cannot be cancelled. */
  void Post(Duration delay, std::function<void()> call);

  /** Runs everything that is due before `end`, then stands there. */
  void RunUntil(TimePoint end);

 private:
  struct Event {
    TimePoint at;
    std::uint64_t sequence;
    std::function<void()> call;
  };

  static bool IsLater(const Event& left, const Event& right);

  TimePoint m_now{};
  std::uint64_t m_next_sequence = 0;
  std::vector<Event> m_events;
};

}  // namespace zinnia::bench
