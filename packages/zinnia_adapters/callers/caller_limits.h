#pragma once

#include <cstddef>
#include <cstdint>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** What one caller, and all callers together, may take of a traffic thread. */
struct CallerLimits {
  std::size_t most_connections = 8'192;
  std::size_t most_exchanges = 4'096;
  std::uint32_t most_header_bytes = 16'384;
  std::uint64_t most_body_bytes = 1'048'576;

  /** What may wait for a reader who is slower than the tokens. Beyond it the caller is cut off, and
      can resume with the last event id it got. */
  std::size_t most_unsent_bytes = 262'144;

  /** From the first byte of a request to the end of its headers. */
  Duration header_timeout = std::chrono::seconds(10);
  Duration body_timeout = std::chrono::seconds(30);
  Duration write_timeout = std::chrono::seconds(30);

  /** How long a connection may lie idle between two requests. */
  Duration idle_timeout = std::chrono::seconds(75);
};

}  // namespace zinnia
