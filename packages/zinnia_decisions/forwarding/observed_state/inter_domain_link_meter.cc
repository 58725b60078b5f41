#include "zinnia_decisions/forwarding/observed_state/inter_domain_link_meter.h"

#include <cmath>

namespace zinnia {
namespace {

/** Longer than request bursts (tens of milliseconds), yet short enough to follow a failover. */
constexpr std::chrono::duration<double, std::milli> kMemory{1'000.0};

}  // namespace

double InterDomainLinkMeter::Decayed() const {
  const std::chrono::duration<double, std::milli> age = m_clock.Now() - m_changed_at;
  return m_recent_ms * std::exp(-age / kMemory);
}

void InterDomainLinkMeter::Add(double transfer_ms) {
  m_recent_ms = Decayed() + transfer_ms;
  m_changed_at = m_clock.Now();
}

double InterDomainLinkMeter::OwnUtilization() const {
  return Decayed() / kMemory.count();
}

}  // namespace zinnia
