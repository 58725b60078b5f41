#pragma once

#include <chrono>
#include <optional>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** What a server said of the requests that it takes, and how old its word is. */
struct ServerLimitReport {
  BackendServerName server;

  /** Of all instances together; nothing if it names no limit any more. */
  std::optional<double> requests_per_second;
  std::chrono::milliseconds age{0};
};

}  // namespace zinnia
