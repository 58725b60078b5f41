#include "zinnia_adapters/metrics/organisation_histogram.h"

#include <algorithm>
#include <cmath>

namespace zinnia {
namespace {

constexpr double kLeastSeconds = 1e-4;
constexpr double kMostSeconds = 1e3;

std::size_t IndexOf(RequestClass request_class) {
  return static_cast<std::size_t>(request_class);
}

std::size_t IndexOf(Measure measure) {
  return static_cast<std::size_t>(measure);
}

}  // namespace

OrganisationHistogram::OrganisationHistogram()
    : m_durations(std::tuple<Index, Index, DurationAxis>(
          Index(0, static_cast<int>(kClasses)),
          Index(0, static_cast<int>(kMeasures)),
          DurationAxis(static_cast<unsigned>(kBuckets), kLeastSeconds, kMostSeconds))) {}

void OrganisationHistogram::Fill(RequestClass request_class, Measure measure, double seconds) {
  // A duration of zero has no logarithm; it belongs below the first bound.
  const double value = std::max(seconds, kLeastSeconds / 2);
  m_durations(static_cast<int>(request_class), static_cast<int>(measure), value);
  m_sums[IndexOf(request_class)][IndexOf(measure)] += seconds;
}

void OrganisationHistogram::AddCredit(RequestClass request_class, double weight) {
  m_credits[IndexOf(request_class)] += weight;
}

std::uint64_t OrganisationHistogram::CountOf(RequestClass request_class, Measure measure) const {
  std::uint64_t count = 0;
  for (std::size_t bucket = 0; bucket <= kBuckets; ++bucket) {
    count += BucketCount(request_class, measure, bucket);
  }
  return count;
}

double OrganisationHistogram::SumOf(RequestClass request_class, Measure measure) const {
  return m_sums[IndexOf(request_class)][IndexOf(measure)];
}

double OrganisationHistogram::CreditOf(RequestClass request_class) const {
  return m_credits[IndexOf(request_class)];
}

std::uint64_t OrganisationHistogram::BucketCount(RequestClass request_class,
                                                 Measure measure,
                                                 std::size_t bucket) const {
  const auto at = [&](int index) {
    return m_durations.at(static_cast<int>(request_class), static_cast<int>(measure), index);
  };
  constexpr int kUnderflow = -1;
  return at(static_cast<int>(bucket)) + (bucket == 0 ? at(kUnderflow) : 0);
}

double OrganisationHistogram::UpperBound(std::size_t bucket) const {
  return kLeastSeconds * std::pow(kMostSeconds / kLeastSeconds,
                                  static_cast<double>(bucket + 1) / static_cast<double>(kBuckets));
}

double OrganisationHistogram::Quantile(RequestClass request_class,
                                       Measure measure,
                                       double quantile) const {
  const double wanted = quantile * static_cast<double>(CountOf(request_class, measure));
  double seen = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += static_cast<double>(BucketCount(request_class, measure, bucket));
    if (seen > 0 && seen >= wanted) {
      return UpperBound(bucket);
    }
  }
  return seen > 0 || wanted > 0 ? kMostSeconds : 0.0;
}

}  // namespace zinnia
