#include "zinnia_adapters/engines/batch_times.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <vector>

namespace zinnia {
namespace {

/** With one sample in a hundred at its least time, a range neither rises nor falls. */
constexpr double kRiseWithEachSample = 1.01;

/** A range that no batch fell into for that long says nothing of the server as it is now. */
constexpr std::uint64_t kForgottenAfterSamples = 8'192;

}  // namespace

void BatchTimes::Observe(Duration took, std::uint32_t units) {
  const std::uint32_t size = std::max(units, 1U);
  const std::size_t index = std::min<std::size_t>(std::bit_width(size) - 1, kRanges - 1);
  Range& range = m_ranges[index];
  const double seconds = std::chrono::duration<double>(took).count();
  const double risen = range.least_seconds * kRiseWithEachSample;
  if (range.samples == 0 || seconds <= risen) {
    range.least_seconds = seconds;
    range.units = size;
  } else {
    range.least_seconds = risen;
  }
  range.samples = std::min(range.samples + 1, kSamplesToLearn);
  range.last_sample = ++m_samples;
}

bool BatchTimes::IsTrusted(const Range& range) const {
  return range.samples >= kSamplesToLearn && m_samples - range.last_sample < kForgottenAfterSamples;
}

std::optional<BatchTimes::Line> BatchTimes::Fit() const {
  std::vector<Range> trusted;
  std::ranges::copy_if(m_ranges, std::back_inserter(trusted),
                       [this](const Range& range) { return IsTrusted(range); });
  if (trusted.empty() || trusted.back().units < kLeastSpread * trusted.front().units) {
    return std::nullopt;
  }
  const auto count = static_cast<double>(trusted.size());
  double mean_units = 0.0;
  double mean_seconds = 0.0;
  for (const Range& range : trusted) {
    mean_units += range.units / count;
    mean_seconds += range.least_seconds / count;
  }
  double covariance = 0.0;
  double variance = 0.0;
  for (const Range& range : trusted) {
    covariance += (range.units - mean_units) * (range.least_seconds - mean_seconds);
    variance += (range.units - mean_units) * (range.units - mean_units);
  }
  // Noise must not make a larger batch cheaper than a smaller one, nor an empty one free of charge
  // below zero.
  const double slope = std::max(covariance / variance, 0.0);
  return Line{std::max(mean_seconds - slope * mean_units, 0.0), slope};
}

double BatchTimes::UnitsPerSecond(std::uint32_t full_batch) const {
  const std::optional<Line> line = Fit();
  if (!line) {
    return 0.0;
  }
  const double seconds = line->base_seconds + line->seconds_per_unit * full_batch;
  return seconds > 0.0 ? full_batch / seconds : 0.0;
}

}  // namespace zinnia
