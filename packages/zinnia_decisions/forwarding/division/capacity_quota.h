#pragma once

#include <cstdint>
#include <optional>

namespace zinnia {

/** The fair part of one server for one instance. A resource without a value is not scarce. */
struct CapacityQuota {
  /** Requests that begin at the server, rounded to whole ones. */
  std::optional<std::uint32_t> requests;

  /** Memory, not rounded. */
  std::optional<double> token_layers;

  /** Fraction of one request's part by which the memory may be exceeded, from 0 to below 1. Rounds
      the quota to whole requests, whose sizes differ. */
  double rounding = 0.0;

  /** Whether an instance that runs `own` requests may begin one more. */
  bool MayBegin(std::uint32_t own) const { return !requests || own < *requests; }

  /** Size of the largest part that an instance that uses `own` token-layers may add. Infinite if
      memory is not scarce. */
  double LargestPart(double own) const;
};

}  // namespace zinnia
