#pragma once

#include <algorithm>

namespace zinnia {

/** Limits retries to a share of the calls, so that a failing service does not get its load
    multiplied by them. */
class RetryBudget {
 public:
  static constexpr double kRetriesPerCall = 0.1;
  static constexpr double kMostSaved = 20.0;

  void OnCall() { m_saved = std::min(kMostSaved, m_saved + kRetriesPerCall); }

  /** Takes one retry from the budget; false if it is spent. */
  bool TryTake() {
    if (m_saved < 1.0) {
      return false;
    }
    m_saved -= 1.0;
    return true;
  }

 private:
  double m_saved = kMostSaved;
};

}  // namespace zinnia
