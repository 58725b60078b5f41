#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace zinnia::bench {

using BenchClock = std::chrono::steady_clock;

/** The waits for the tokens of many answers, in milliseconds. */
class Latencies {
 public:
  /** A token came `since` its request was sent or the token before it came. */
  void Add(bool first, BenchClock::duration since) {
    const double milliseconds = std::chrono::duration<double, std::milli>(since).count();
    (first ? m_first : m_between).push_back(milliseconds);
  }

  double FirstToken(double share) const { return Quantile(m_first, share); }
  double BetweenTokens(double share) const { return Quantile(m_between, share); }
  std::size_t Answers() const { return m_first.size(); }

 private:
  static double Quantile(std::vector<double> values, double share) {
    if (values.empty()) {
      return 0.0;
    }
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                     values.end());
    return values[rank];
  }

  std::vector<double> m_first;
  std::vector<double> m_between;
};

}  // namespace zinnia::bench
