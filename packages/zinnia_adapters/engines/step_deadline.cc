#include "zinnia_adapters/engines/step_deadline.h"

#include <algorithm>
#include <boost/histogram/algorithm/sum.hpp>

namespace zinnia {
namespace {

constexpr unsigned kBins = 120;
constexpr double kLeastSeconds = 1e-6;
constexpr double kMostSeconds = 100.0;
constexpr std::uint32_t kRecomputeEvery = 16;
constexpr double kLearnedShare = 0.99;

}  // namespace

StepDeadline::StepDeadline()
    : m_seconds_per_unit(std::make_tuple(Axis(kBins, kLeastSeconds, kMostSeconds))) {}

void StepDeadline::Observe(Duration latency, std::uint32_t units) {
  const double seconds = std::chrono::duration<double>(latency).count();
  Add(seconds / std::max(units, 1U));
}

void StepDeadline::ObserveMissed() {
  constexpr double kGrowth = 2.0;
  const Duration usual = m_samples < kSamplesToLearn ? kUnlearned : m_p99;
  Add(std::chrono::duration<double>(usual).count() * kGrowth);
}

void StepDeadline::Add(double seconds_per_unit) {
  m_seconds_per_unit(std::max(seconds_per_unit, kLeastSeconds));
  ++m_samples;
  if (m_samples % kHalfLife == 0) {
    m_seconds_per_unit *= 0.5;
  }
  if (m_samples % kRecomputeEvery == 0) {
    m_p99 = Quantile(kLearnedShare);
  }
}

Duration StepDeadline::DeadlineFor(std::uint32_t units) const {
  if (m_samples < kSamplesToLearn) {
    return kUnlearned;
  }
  const auto learned =
      std::chrono::duration<double>(m_p99) * kMultiple * static_cast<double>(std::max(units, 1U));
  return std::clamp(std::chrono::duration_cast<Duration>(learned), kFloor, kCap);
}

Duration StepDeadline::Quantile(double share) const {
  const double total = boost::histogram::algorithm::sum(m_seconds_per_unit);
  const Axis& axis = m_seconds_per_unit.axis();
  double seen = 0.0;
  double upper_edge = 0.0;
  for (int bin = 0; bin < axis.size(); ++bin) {
    upper_edge = axis.bin(bin).upper();
    seen += m_seconds_per_unit.at(bin);
    if (seen >= total * share) {
      break;
    }
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(upper_edge));
}

}  // namespace zinnia
