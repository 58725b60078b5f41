#include "zinnia_decisions/forwarding/costs/answer_length_counts.h"

#include <algorithm>

namespace zinnia {
namespace {

/** Width of the last bin, as a multiple of its lower bound. */
constexpr double kLastBinWidth = 1.5;

/** Bins of the axis have indices from -1. */
int ToAxis(std::size_t bin) {
  return static_cast<int>(bin) - 1;
}

}  // namespace

AnswerLengthCounts::AnswerLengthCounts()
    : m_counts(std::tuple<OutcomeAxis, LengthAxis>(OutcomeAxis(0, 2), Lengths()), Storage()) {}

const AnswerLengthCounts::LengthAxis& AnswerLengthCounts::Lengths() {
  static const LengthAxis lengths(static_cast<unsigned>(kBins - 2), kShortest, kLongest);
  return lengths;
}

std::size_t AnswerLengthCounts::BinOf(double tokens) {
  // The axis takes lengths without a logarithm for the longest.
  return tokens < kShortest ? 0 : static_cast<std::size_t>(Lengths().index(tokens) + 1);
}

double AnswerLengthCounts::LowerBound(std::size_t bin) {
  return bin == 0 ? 0.0 : Lengths().value(ToAxis(bin));
}

double AnswerLengthCounts::UpperBound(std::size_t bin) {
  return bin + 1 < kBins ? Lengths().value(ToAxis(bin) + 1) : kLongest * kLastBinWidth;
}

double AnswerLengthCounts::EndedInAll() const {
  double sum = 0.0;
  for (std::size_t bin = 0; bin < kBins; ++bin) {
    sum += Ended(bin);
  }
  return sum;
}

void AnswerLengthCounts::Scale(double factor) {
  m_counts *= factor;
}

void AnswerLengthCounts::Add(const AnswerLengthCounts& other) {
  m_counts += other.m_counts;
}

void AnswerLengthCounts::Subtract(const AnswerLengthCounts& other) {
  auto less = other.m_counts.begin();
  for (float& count : m_counts) {
    count = std::max(0.0F, count - *less++);
  }
}

void AnswerLengthCounts::Add(Outcome outcome, std::size_t bin, double weight) {
  m_counts.at(static_cast<int>(outcome), ToAxis(bin)) += static_cast<float>(weight);
}

double AnswerLengthCounts::At(Outcome outcome, std::size_t bin) const {
  return m_counts.at(static_cast<int>(outcome), ToAxis(bin));
}

}  // namespace zinnia
