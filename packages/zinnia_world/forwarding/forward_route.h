#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** What may be done again with a request of a route after its outcome became unknown. */
enum class Repeatability { kIdempotent, kNonIdempotent, kStream };

/** A service and the weight with which a route's requests go to it. */
struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 1;
};

/** One rule of the accepted configuration: which requests go to which services, and how. */
struct ForwardRoute {
  std::string name;
  std::string host;
  std::string path_prefix;
  Repeatability repeatability = Repeatability::kNonIdempotent;

  /** Streams only: a broken stream may go on at another server after the last whole event. */
  bool resumable = false;

  /** The request needs no key. */
  bool is_public = false;

  std::vector<WeightedService> services;
  std::uint32_t priority = 0;  // 0 is the most urgent.
  std::uint32_t most_servers = 1;

  /** How long a caller may wait for the whole answer. */
  std::chrono::milliseconds timeout{30'000};

  /** The time to the answer, or to the first event, that counts as on time. */
  std::chrono::milliseconds latency_objective{1'000};

  /** The pause between events of a stream that still counts as on time; 0 for other routes. */
  std::chrono::milliseconds event_gap_objective{0};

  /** Whether sending a request again, from the start or from the last event, does no harm. */
  bool MayRepeat() const {
    return repeatability == Repeatability::kIdempotent ||
           (repeatability == Repeatability::kStream && resumable);
  }
};

}  // namespace zinnia
