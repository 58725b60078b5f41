#pragma once

#include <array>
#include <boost/histogram/axis/integer.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cstdint>
#include <tuple>
#include <vector>

#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {

/** The durations and credits of one organisation: one histogram with the axes class, measure and
    duration (logarithmic, four buckets a decade from 100 us to 1000 s), and the sums beside it.

    Not thread safe: HistogramMetrics locks around it.
*/
class OrganisationHistogram {
 public:
  static constexpr std::size_t kClasses = 2;
  static constexpr std::size_t kMeasures = 5;
  static constexpr std::size_t kBuckets = 28;

  OrganisationHistogram();

  void Fill(RequestClass request_class, Measure measure, double seconds);
  void AddCredit(RequestClass request_class, double weight);

  std::uint64_t CountOf(RequestClass request_class, Measure measure) const;
  double SumOf(RequestClass request_class, Measure measure) const;
  double CreditOf(RequestClass request_class) const;

  /** Observations in one bucket; kBuckets is the one above the last bound. Those below the first
      bound are in bucket 0. */
  std::uint64_t BucketCount(RequestClass request_class, Measure measure, std::size_t bucket) const;

  /** Upper bound of a bucket in seconds. */
  double UpperBound(std::size_t bucket) const;

  /** Upper bound of the bucket that holds the given quantile; 0 without observations. */
  double Quantile(RequestClass request_class, Measure measure, double quantile) const;

 private:
  using Index = boost::histogram::axis::
      integer<int, boost::use_default, boost::histogram::axis::option::none_t>;
  using DurationAxis =
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<std::tuple<Index, Index, DurationAxis>,
                                                boost::histogram::dense_storage<std::uint64_t>>;

  Histogram m_durations;
  std::array<std::array<double, kMeasures>, kClasses> m_sums{};
  std::array<double, kClasses> m_credits{};
};

}  // namespace zinnia
