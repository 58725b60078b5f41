#pragma once

#include <boost/histogram/axis/regular.hpp>

#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <tuple>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Learns from the latencies of one kind of call how long to wait for the next one.

    A frozen server cannot be told from a slow one but by time. A fixed timeout long enough for the
    slowest server would make each recovery wait that long; so the deadline is a multiple of the
    99th percentile seen lately, between a floor (jitter must not look like a failure) and a cap.
    Old samples lose half their weight every kHalfLife samples, so that the deadline follows a
    server that became slower or faster.
*/
class StepDeadline {
 public:
  static constexpr Duration kFloor = std::chrono::milliseconds(150);
  static constexpr Duration kCap = std::chrono::seconds(10);

  /** Until enough was seen. */
  static constexpr Duration kUnlearned = std::chrono::seconds(2);
  static constexpr double kMultiple = 4.0;
  static constexpr std::uint32_t kSamplesToLearn = 32;
  static constexpr std::uint32_t kHalfLife = 512;

  StepDeadline();

  /** `units` is what the latency is shared by: 1 for a decode batch, its positions for a prefill.
   */
  void Observe(Duration latency, std::uint32_t units);

  /** Tell each missed deadline, or a server that became slower would miss every one from then on.
      It counts as twice the 99th percentile, not as the time waited: a freeze says nothing of how
      long steps take, and counted whole each freeze made the next one be noticed four times as
      late. Do not observe an answer that comes after its deadline. */
  void ObserveMissed();

  Duration DeadlineFor(std::uint32_t units) const;
  Duration Quantile(double share) const;

 private:
  void Add(double seconds_per_unit);

  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>>;

  Histogram m_seconds_per_unit;
  std::uint32_t m_samples = 0;
  Duration m_p99{};
};

}  // namespace zinnia
