#pragma once

#include <array>
#include <chrono>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Cache memory of one server that running requests use, in token-layers. */
struct ServerMemory {
  /** Times from now for which releases are predicted. */
  static constexpr std::array<Duration, 5> kHorizons = {
      std::chrono::milliseconds(100), std::chrono::milliseconds(250),
      std::chrono::milliseconds(500), std::chrono::milliseconds(1'000),
      std::chrono::milliseconds(2'000)};

  double held = 0.0;

  /** The part of `held` that is expected to be released within each of kHorizons. */
  std::array<double, kHorizons.size()> released{};
};

}  // namespace zinnia
