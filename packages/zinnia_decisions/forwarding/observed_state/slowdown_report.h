#pragma once

#include <chrono>
#include <vector>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** How many times longer than usual a server reports its work to take, and the age of that report.
 */
struct SlowdownReport {
  BackendServerName server;
  double slowdown_factor = 1.0;
  std::chrono::milliseconds age{0};
};

}  // namespace zinnia
