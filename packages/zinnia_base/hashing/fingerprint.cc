#include "zinnia_base/hashing/fingerprint.h"

#include <fmt/format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace zinnia {

Fingerprint Fingerprint::Of(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.high64, hash.low64};
}

std::string Fingerprint::ToHex() const {
  return fmt::format("{:016x}{:016x}", high, low);
}

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace zinnia
