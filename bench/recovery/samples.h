#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace zinnia::bench {

using SteadyTime = std::chrono::steady_clock::time_point;

/** Durations of one kind, printed as quantiles. */
class Samples {
 public:
  void Add(double milliseconds) { m_milliseconds.push_back(milliseconds); }
  void AddSince(SteadyTime begin) {
    Add(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin)
            .count());
  }

  std::size_t Count() const { return m_milliseconds.size(); }

  /** Prints NAME_p50_ms, NAME_p99_ms and NAME_samples lines. The p99 of fewer than 100 samples is
      the largest. */
  void Print(const std::string& name) const;

 private:
  std::vector<double> m_milliseconds;
};

}  // namespace zinnia::bench
