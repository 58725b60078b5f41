#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace zinnia {

/** A 128-bit hash of some bytes (XXH3). Equal bytes have equal fingerprints on every machine.
    Not a signature: whoever can choose the bytes can make two with one fingerprint. */
struct Fingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  static Fingerprint Of(std::string_view bytes);
  std::string ToHex() const;
  auto operator<=>(const Fingerprint&) const = default;
};

/** A seeded 64-bit hash, for partitions, subsets and consistent choices. */
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace zinnia

template <>
struct std::hash<zinnia::Fingerprint> {
  std::size_t operator()(const zinnia::Fingerprint& fingerprint) const noexcept {
    return fingerprint.low;
  }
};
