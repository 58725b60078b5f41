#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "zinnia_base/time/scheduler.h"

namespace zinnia {

/** The pending timers of one thread, in order of their time and, at equal times, of their making.

    kj's own timer promises are not handed out, because destroying a kj promise from inside its own
    continuation aborts the process, and a repeating timer that replaces its ScheduledCall from its
    own call does just that.
*/
class TimerQueue {
 public:
  struct Due {
    TimePoint at{};
    std::function<void()> call;
  };

  TimerQueue();

  std::unique_ptr<ScheduledCall> Add(TimePoint at, std::function<void()> call);
  std::optional<TimePoint> NextTime() const;

  /** Takes out the next call that is due at `now`, if any. */
  std::optional<Due> TakeDue(TimePoint now);

 private:
  class Call;
  using Calls = std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>>;

  std::shared_ptr<Calls> m_calls;
  std::uint64_t m_next_sequence = 0;
};

}  // namespace zinnia
