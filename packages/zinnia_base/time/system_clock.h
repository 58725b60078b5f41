#pragma once

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** The machine's own clocks. Programs create one in main() and pass it on. */
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
  WallTimePoint WallNow() const override { return std::chrono::system_clock::now(); }
};

}  // namespace zinnia
