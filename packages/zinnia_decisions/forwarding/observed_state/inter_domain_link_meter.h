#pragma once

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Estimates the utilization of the inter-domain link from the transfers of this instance.

    Prompt transfers between failure domains share one link and run one after another. Without this
    estimate, a pool that lost stages would saturate the link and delay first tokens by seconds.
*/
class InterDomainLinkMeter {
 public:
  explicit InterDomainLinkMeter(const Clock& clock) : m_clock(clock) {}

  /** Records a request whose prompt occupies the link for `transfer_ms` in total. */
  void Add(double transfer_ms);

  /** Fraction of time that transfers of this instance occupy the link. Exceeds 1 if they queue. */
  double OwnUtilization() const;

 private:
  double Decayed() const;

  const Clock& m_clock;
  double m_recent_ms = 0.0;
  TimePoint m_changed_at{};
};

}  // namespace zinnia
