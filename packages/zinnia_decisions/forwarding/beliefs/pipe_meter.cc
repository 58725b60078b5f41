#include "zinnia_decisions/forwarding/beliefs/pipe_meter.h"

#include <cmath>

namespace zinnia {
namespace {

/** Requests come in bursts of tens of milliseconds, and faults change their ways within a second.
 */
constexpr std::chrono::duration<double, std::milli> kMemory{1'000.0};

}  // namespace

double PipeMeter::Decayed() const {
  const std::chrono::duration<double, std::milli> age = m_clock.Now() - m_changed_at;
  return m_recent_ms * std::exp(-age / kMemory);
}

void PipeMeter::Add(double transfer_ms) {
  m_recent_ms = Decayed() + transfer_ms;
  m_changed_at = m_clock.Now();
}

double PipeMeter::OwnUse() const {
  return Decayed() / kMemory.count();
}

}  // namespace zinnia
