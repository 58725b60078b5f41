#pragma once

#include <algorithm>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** How long an instance takes to answer, learned from its answers: a moving mean and deviation.

    Use Deadline for when an answer is late. Bound it below: a few fast answers say nothing of the
    next one.

    @see HolderWatch
*/
class ReplyTimeEstimator {
 public:
  void Add(Duration time) {
    if (m_mean == Duration::zero()) {
      m_mean = time;
      m_deviation = time / 2;
      return;
    }
    const Duration difference = time - m_mean;
    m_mean += difference / kMeanDivisor;
    m_deviation += (std::max(difference, -difference) - m_deviation) / kDeviationDivisor;
  }

  /** Zero while nothing was learned. */
  Duration Deadline() const { return m_mean + kDeviationFactor * m_deviation; }

 private:
  static constexpr int kMeanDivisor = 8;
  static constexpr int kDeviationDivisor = 4;
  static constexpr int kDeviationFactor = 4;

  Duration m_mean{};
  Duration m_deviation{};
};

}  // namespace zinnia
