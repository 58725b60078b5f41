#pragma once

#include <chrono>

namespace zinnia {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTimePoint = std::chrono::time_point<std::chrono::system_clock, Duration>;

/** Interface to the current time, injected so that tests can use VirtualTime.

    Use Now() for deadlines and intervals. Use WallNow() only for times that are displayed or
    compared between instances, such as the expiry of resume tokens; the wall clocks of instances
    may differ by seconds.

    @see SystemClock, VirtualTime
*/
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
  virtual WallTimePoint WallNow() const = 0;
};

}  // namespace zinnia
