#pragma once

#include <array>
#include <boost/histogram/axis/integer.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstddef>
#include <tuple>

namespace zinnia {

/** Weighted counts of answers by length in tokens, on a logarithmic scale.

    Each bin counts the answers that ended in it and those that were still running beyond it. Their
    ratio is the bin's hazard, so that running answers are evidence too (censored observations), and
    counts of several instances can be added.
*/
class AnswerLengthCounts {
 public:
  /** Shortest length that has a bin of its own, in tokens. Shorter answers share the first bin. */
  static constexpr double kShortest = 8.0;

  /** Lengths from here on share the last bin. */
  static constexpr double kLongest = 32'768.0;

  /** Two per octave, and one at each end. */
  static constexpr std::size_t kBins = 26;

  AnswerLengthCounts();

  static std::size_t BinOf(double tokens);

  /** 0 for the first bin. */
  static double LowerBound(std::size_t bin);

  /** For the last bin a multiple of the lower bound. */
  static double UpperBound(std::size_t bin);

  void AddEnded(std::size_t bin, double weight) { Add(Outcome::kEnded, bin, weight); }
  void AddPassed(std::size_t bin, double weight) { Add(Outcome::kPassed, bin, weight); }

  /** Answers that ended in the bin. */
  double Ended(std::size_t bin) const { return At(Outcome::kEnded, bin); }

  /** Answers that were longer than the bin. */
  double Passed(std::size_t bin) const { return At(Outcome::kPassed, bin); }

  /** All answers that ended. */
  double EndedInAll() const;

  void Scale(double factor);
  void Add(const AnswerLengthCounts& other);

  /** Counts that would become negative are set to 0. */
  void Subtract(const AnswerLengthCounts& other);

 private:
  enum class Outcome { kEnded, kPassed };

  using OutcomeAxis = boost::histogram::axis::
      integer<int, boost::histogram::axis::null_type, boost::histogram::axis::option::none_t>;
  using LengthAxis = boost::histogram::axis::
      regular<double, boost::histogram::axis::transform::log, boost::histogram::axis::null_type>;
  using Storage = boost::histogram::storage_adaptor<std::array<float, 2 * kBins>>;
  using Histogram = boost::histogram::histogram<std::tuple<OutcomeAxis, LengthAxis>, Storage>;

  static const LengthAxis& Lengths();
  void Add(Outcome outcome, std::size_t bin, double weight);
  double At(Outcome outcome, std::size_t bin) const;

  Histogram m_counts;
};

}  // namespace zinnia
