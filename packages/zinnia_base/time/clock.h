#pragma once

#include <chrono>

namespace zinnia {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTimePoint = std::chrono::time_point<std::chrono::system_clock, Duration>;

/** Tells the time. Passed to everything that needs it, so that tests run in virtual time.

    Use Now() for deadlines and intervals; WallNow() only for what is shown to people or compared
    between instances (expiry in resume tokens), where clocks may differ by seconds.

    @see SystemClock, VirtualTime
*/
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
  virtual WallTimePoint WallNow() const = 0;
};

}  // namespace zinnia
