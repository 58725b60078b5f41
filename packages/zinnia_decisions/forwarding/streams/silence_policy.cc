#include "zinnia_decisions/forwarding/streams/silence_policy.h"

#include <algorithm>
#include <chrono>

#include "zinnia_world/forwarding/forward_route.h"

namespace zinnia {
namespace {

using std::chrono::milliseconds;

/** Factors of the route's objectives. Smaller ones would probe and abandon engines that are only
    full: these reset connections beyond their limit, so that a failed probe looks like a dead
    server. */
constexpr double kProbeBeforeFirstEvent = 1.2;
constexpr double kProbeBetweenEvents = 1.0;
constexpr double kAbandonBeforeFirstEvent = 1.0;
constexpr double kAbandonBetweenEvents = 2.0;

/** Longer than one pass of an engine, which takes tens of milliseconds. */
constexpr Duration kMinSilence = milliseconds(120);

/** Callers disconnect after two seconds without an event, also on routes without objectives. */
constexpr Duration kMaxSilence = milliseconds(800);

Duration ScaleObjective(milliseconds objective, double factor) {
  if (objective <= milliseconds::zero()) {
    return kMaxSilence;
  }
  const auto silence = std::chrono::duration_cast<Duration>(objective * factor);
  return std::clamp(silence, kMinSilence, kMaxSilence);
}

}  // namespace

Duration SilencePolicy::ProbeAfter(bool has_begun) const {
  return has_begun ? ScaleObjective(m_route.event_gap_objective, kProbeBetweenEvents)
                   : ScaleObjective(m_route.latency_objective, kProbeBeforeFirstEvent);
}

Duration SilencePolicy::AbandonAfter(bool has_begun) const {
  return has_begun ? ScaleObjective(m_route.event_gap_objective, kAbandonBetweenEvents)
                   : ScaleObjective(m_route.latency_objective, kAbandonBeforeFirstEvent);
}

}  // namespace zinnia
