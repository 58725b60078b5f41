#pragma once

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** How busy the pipe between failure domains is, estimated from what this instance sent over it.

    All prompts that cross share one pipe, one transfer after another. A pool that lost stages sends
    ever more requests across until the pipe is full; then every request waits seconds for its first
    token, and one notices callers leaving while engines idle.
*/
class InterDomainLinkMeter {
 public:
  explicit InterDomainLinkMeter(const Clock& clock) : m_clock(clock) {}

  /** A request was sent whose prompt takes the pipe for so long in total. */
  void Add(double transfer_ms);

  /** The share of time that transfers of this instance take, 0 and more. */
  double OwnUtilization() const;

 private:
  double Decayed() const;

  const Clock& m_clock;
  double m_recent_ms = 0.0;
  TimePoint m_changed_at{};
};

}  // namespace zinnia
