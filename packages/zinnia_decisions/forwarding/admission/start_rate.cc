#include "zinnia_decisions/forwarding/admission/start_rate.h"

#include <algorithm>
#include <cmath>

namespace zinnia {
namespace {

using Seconds = std::chrono::duration<double>;

/** Older observations say little: a lost server changes the rate within a second. */
constexpr Duration kMemory = std::chrono::milliseconds(1'500);

/** A shortage lasts for this time after a request found no capacity. Small instances receive a few
    requests per second, so the next one may not arrive earlier. */
constexpr Duration kShortageLasts = std::chrono::milliseconds(500);

/** Added to the observed starts, so that a short time without starts is not taken for a rate of
   zero (Jeffreys prior of a Poisson rate). */
constexpr double kPriorStarts = 0.5;

/** Least observed shortage for which a rate is known. */
constexpr double kMinObservedSeconds = 0.3;

}  // namespace

void StartRate::OnNoRoom() {
  Update();
  m_shortage_until = m_updated_at + kShortageLasts;
}

void StartRate::OnStarted(std::size_t request_class) {
  Update();
  m_starts.resize(std::max(m_starts.size(), request_class + 1));
  if (m_updated_at <= m_shortage_until) {
    m_starts[request_class] += 1.0;
  }
}

std::optional<double> StartRate::PerSecond(std::size_t request_class) const {
  const Decayed decayed = DecayUntil(m_clock.Now());
  if (decayed.shortage_seconds < kMinObservedSeconds) {
    return std::nullopt;
  }
  double starts = kPriorStarts;
  for (std::size_t other = request_class; other < m_starts.size(); ++other) {
    starts += m_starts[other] * decayed.kept;
  }
  return starts / decayed.shortage_seconds;
}

StartRate::Decayed StartRate::DecayUntil(TimePoint now) const {
  const Seconds passed = now - m_updated_at;
  const Seconds in_shortage =
      std::max<Duration>(std::min(now, m_shortage_until) - m_updated_at, Duration::zero());
  const double kept = std::exp(-passed / Seconds(kMemory));
  return {kept, m_shortage_seconds * kept + in_shortage.count()};
}

void StartRate::Update() {
  const TimePoint now = m_clock.Now();
  const Decayed decayed = DecayUntil(now);
  m_shortage_seconds = decayed.shortage_seconds;
  for (double& starts : m_starts) {
    starts *= decayed.kept;
  }
  m_updated_at = now;
}

}  // namespace zinnia
