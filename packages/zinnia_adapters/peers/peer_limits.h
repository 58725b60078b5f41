#pragma once

#include <capnp/message.h>

namespace zinnia {

/** Bounds of one message of a call. A whole configuration at the largest size aimed at (11,000
    backend servers, 640 organisations) is a few megabytes. */
inline capnp::ReaderOptions PeerCallLimits() {
  constexpr std::uint64_t kLargestMessageBytes = std::uint64_t{32} << 20;
  constexpr int kDeepestNesting = 16;
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kLargestMessageBytes / sizeof(capnp::word);
  options.nestingLimit = kDeepestNesting;
  return options;
}

}  // namespace zinnia
