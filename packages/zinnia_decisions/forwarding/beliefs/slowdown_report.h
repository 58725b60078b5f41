#pragma once

#include <chrono>
#include <vector>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** How many times longer than usual a server says that its work takes, and how old its word is. */
struct SlowdownReport {
  BackendServerName server;
  double slowdown_factor = 1.0;
  std::chrono::milliseconds age{0};
};

}  // namespace zinnia
