#include "zinnia_decisions/forwarding/costs/answer_length_packing.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace zinnia {
namespace {

/** Smaller counts are written as 0. */
constexpr double kLeastCount = 0.02;

/** Steps per doubling. 255 steps reach 0.9 million answers. */
constexpr double kStepsPerOctave = 10.0;
constexpr double kMostSteps = 255.0;

std::uint8_t PackCount(double count) {
  if (count < kLeastCount) {
    return 0;
  }
  const double steps = 1.0 + std::round(kStepsPerOctave * std::log2(count / kLeastCount));
  return static_cast<std::uint8_t>(std::min(steps, kMostSteps));
}

double UnpackCount(char byte) {
  const auto steps = static_cast<std::uint8_t>(byte);
  return steps == 0 ? 0.0 : kLeastCount * std::exp2((steps - 1.0) / kStepsPerOctave);
}

}  // namespace

std::string PackAnswerLengths(const AnswerLengthCounts& counts) {
  std::size_t first = 0;
  while (first < AnswerLengthCounts::kBins && PackCount(counts.Ended(first)) == 0) {
    ++first;
  }
  if (first == AnswerLengthCounts::kBins) {
    first = 0;  // Only running answers.
  }
  std::string bytes(1, static_cast<char>(first));
  for (std::size_t bin = first; bin < AnswerLengthCounts::kBins; ++bin) {
    bytes += static_cast<char>(PackCount(counts.Ended(bin)));
    bytes += static_cast<char>(PackCount(counts.Passed(bin)));
  }
  bytes.erase(bytes.find_last_not_of('\0') + 1);
  return bytes;
}

AnswerLengthCounts UnpackAnswerLengths(std::string_view bytes) {
  AnswerLengthCounts counts;
  if (bytes.empty()) {
    return counts;
  }
  const std::size_t first = static_cast<std::uint8_t>(bytes.front());
  const auto count_at = [bytes](std::size_t index) {
    return index < bytes.size() ? UnpackCount(bytes[index]) : 0.0;
  };
  for (std::size_t bin = first; bin < AnswerLengthCounts::kBins; ++bin) {
    const std::size_t index = 1 + 2 * (bin - first);
    counts.AddEnded(bin, count_at(index));
    counts.AddPassed(bin, count_at(index + 1));
  }
  for (std::size_t bin = 0; bin < std::min(first, AnswerLengthCounts::kBins); ++bin) {
    counts.AddPassed(bin, count_at(1) + count_at(2));
  }
  return counts;
}

}  // namespace zinnia
