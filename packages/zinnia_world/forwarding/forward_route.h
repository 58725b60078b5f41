#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** Whether a request may be retried when its outcome is unknown. */
enum class Repeatability { kIdempotent, kNonIdempotent, kStream };

/** A service and its share of a route's requests. */
struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 1;
};

/** A routing rule: which requests are forwarded to which services, and under which limits. */
struct ForwardRoute {
  std::string name;
  std::string host;
  std::string path_prefix;
  Repeatability repeatability = Repeatability::kNonIdempotent;

  /** For streams: whether another server may continue after the last complete event. */
  bool resumable = false;

  /** Whether requests are accepted without an API key. */
  bool is_public = false;

  std::vector<WeightedService> services;
  std::uint32_t priority = 0;  // 0 is the most urgent.
  std::uint32_t most_servers = 1;

  /** Maximum time until the response is complete. */
  std::chrono::milliseconds timeout{30'000};

  /** Target time to the response or, for streams, to the first event. */
  std::chrono::milliseconds latency_objective{1'000};

  /** Target interval between the events of a stream; 0 for other routes. */
  std::chrono::milliseconds event_gap_objective{0};

  /** Whether a request may safely be sent again, from the start or from the last event. */
  bool MayRepeat() const {
    return repeatability == Repeatability::kIdempotent ||
           (repeatability == Repeatability::kStream && resumable);
  }
};

}  // namespace zinnia
