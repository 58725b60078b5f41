#pragma once

#include <algorithm>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Estimates an instance's reply time by exponential moving averages of its mean and deviation, as
    TCP does for retransmission timeouts.

    Callers should apply a minimum to Deadline, since a few fast replies do not predict the next
    one.

    @see HolderFailureDetector
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

  /** Returns the time after which a reply is late, or zero before the first reply. */
  Duration Deadline() const { return m_mean + kDeviationFactor * m_deviation; }

 private:
  static constexpr int kMeanDivisor = 8;
  static constexpr int kDeviationDivisor = 4;
  static constexpr int kDeviationFactor = 4;

  Duration m_mean{};
  Duration m_deviation{};
};

}  // namespace zinnia
