#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace zinnia {

/** A 128-bit XXH3 hash, identical on all platforms. Not cryptographic: collisions can be
    constructed. */
struct Fingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  static Fingerprint Of(std::string_view bytes);
  std::string ToHex() const;
  bool operator==(const Fingerprint&) const = default;
  std::strong_ordering operator<=>(const Fingerprint& other) const {
    return high != other.high ? high <=> other.high : low <=> other.low;
  }
};

/** Returns a seeded 64-bit hash, for partitioning, subsetting and consistent hashing. */
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace zinnia

template <>
struct std::hash<zinnia::Fingerprint> {
  std::size_t operator()(const zinnia::Fingerprint& fingerprint) const noexcept {
    return fingerprint.low;
  }
};
