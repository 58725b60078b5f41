#pragma once

#include <chrono>
#include <optional>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** A server's request rate limit as observed by one instance, with the age of the observation. */
struct ServerLimitReport {
  BackendServerName server;

  /** Limit for all instances together; nullopt if the server no longer sets one. */
  std::optional<double> requests_per_second;
  std::chrono::milliseconds age{0};
};

}  // namespace zinnia
