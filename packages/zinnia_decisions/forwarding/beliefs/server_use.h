#pragma once

#include <cstdint>

namespace zinnia {

/** What requests in flight take of one server. */
struct ServerUse {
  std::uint32_t requests = 0;

  /** Cache memory reserved: for each request its tokens, prompt and expected answer, times the
      layers that it runs there. */
  double token_layers = 0.0;

  /** Requests whose path begins there. Engines bound these, not those that pass through. */
  std::uint32_t begun = 0;

  bool operator==(const ServerUse&) const = default;
};

}  // namespace zinnia
