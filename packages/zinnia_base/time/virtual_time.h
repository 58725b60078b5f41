#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <utility>

#include "zinnia_base/time/scheduler.h"

namespace zinnia {

/** A clock and scheduler with manually advanced time, for deterministic tests and benchmarks.

    Calls due at the same time run in the order in which they were scheduled. Not thread-safe.
*/
class VirtualTime final : public Clock, public Scheduler {
 public:
  VirtualTime();
  ~VirtualTime() override;

  TimePoint Now() const override { return m_now; }
  WallTimePoint WallNow() const override;
  std::unique_ptr<ScheduledCall> ScheduleAfter(Duration delay, std::function<void()> call) override;

  /** Advances the time by `duration`, running all calls that become due. */
  void AdvanceBy(Duration duration);

  /** Advances the time to the next call and runs it. Returns false if none is scheduled. */
  bool RunNext();

 private:
  class Call;
  using Queue = std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>>;

  TimePoint m_now{};
  std::uint64_t m_next_sequence = 0;
  std::shared_ptr<Queue> m_queue;
};

}  // namespace zinnia
