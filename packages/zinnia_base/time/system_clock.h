#pragma once

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Reads the system's steady and wall clocks. Created in main() and injected from there. */
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
  WallTimePoint WallNow() const override { return std::chrono::system_clock::now(); }
};

}  // namespace zinnia
