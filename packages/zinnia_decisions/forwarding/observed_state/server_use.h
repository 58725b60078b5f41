#pragma once

#include <cstdint>

namespace zinnia {

/** Resources of one server that in-flight requests use. */
struct ServerUse {
  std::uint32_t requests = 0;

  /** Reserved cache memory: for each request, its prompt and expected answer tokens times the
      layers that it runs on the server. */
  double token_layers = 0.0;

  /** Requests whose path begins at the server. Engines limit only these. */
  std::uint32_t first_stage_requests = 0;

  bool operator==(const ServerUse&) const = default;
};

}  // namespace zinnia
