#pragma once

#include <cstdint>
#include <random>

namespace zinnia {

/** The one source of randomness of a component, seeded by its owner so that runs can be replayed.
 */
using RandomSource = std::mt19937_64;

/** Uniform in [0, bound). The caller must pass a bound above zero. */
inline std::uint64_t RandomBelow(RandomSource& random, std::uint64_t bound) {
  return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

/** Uniform in [0, 1). */
inline double RandomUnit(RandomSource& random) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

}  // namespace zinnia
