#pragma once

#include <cstdint>
#include <random>

namespace zinnia {

/** A random number generator, seeded by the owner of the component so that runs are reproducible.
 */
using RandomSource = std::mt19937_64;

/** Returns a uniformly distributed integer in [0, bound). `bound` must be positive. */
inline std::uint64_t RandomBelow(RandomSource& random, std::uint64_t bound) {
  return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

/** Returns a uniformly distributed number in [0, 1). */
inline double RandomUnit(RandomSource& random) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

}  // namespace zinnia
