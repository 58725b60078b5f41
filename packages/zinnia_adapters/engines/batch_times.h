#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Learns how long a server takes for a batch as a line over the batch's size: a part that every
    batch costs, because the weights are read anyway, and a part for each unit in it (a step, or a
    position of a prefill).

    Tokens a second as they pass would not do: at low load they tell how little was asked for, not
    what the server can do, and admission would shrink to it. The line is measured at whatever sizes
    occur and read off at a full batch.

    For each range of sizes the least time seen lately stands, because other instances' batches and
    busy machines only ever add to a time. It rises a little with each sample, so that a server that
    became slower is noticed.

    @see StepDeadline, which learns how long to wait
*/
class BatchTimes {
 public:
  /** Times below this many in a range of sizes are not yet trusted. */
  static constexpr std::uint32_t kSamplesToLearn = 8;

  /** How far apart the sizes must lie: two sizes next to each other would make noise a slope. */
  static constexpr double kLeastSpread = 4.0;

  struct Line {
    double base_seconds = 0.0;
    double seconds_per_unit = 0.0;
  };

  /** A batch of so many units kept the server busy for `took`. */
  void Observe(Duration took, std::uint32_t units);

  /** Nothing until sizes far enough apart were seen often enough. */
  std::optional<Line> Fit() const;

  /** What the server gets through in full batches of that size; 0 while that is not known. */
  double UnitsPerSecond(std::uint32_t full_batch) const;

 private:
  /** Sizes from one power of two up to the next. */
  struct Range {
    double least_seconds = 0.0;
    double units = 0.0;
    std::uint32_t samples = 0;
    std::uint64_t last_sample = 0;
  };

  bool IsTrusted(const Range& range) const;

  static constexpr std::size_t kRanges = 16;
  std::array<Range, kRanges> m_ranges;
  std::uint64_t m_samples = 0;
};

}  // namespace zinnia
