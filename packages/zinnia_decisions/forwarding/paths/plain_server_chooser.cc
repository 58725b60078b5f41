#include "zinnia_decisions/forwarding/paths/plain_server_chooser.h"

#include <algorithm>
#include <limits>

#include "zinnia_decisions/forwarding/limits/server_limits.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"
#include "zinnia_decisions/forwarding/observed_state/server_health.h"

namespace zinnia {
namespace {

/** Added to the load of an excluded server, so that it is chosen only if no other is left. */
constexpr double kExcludedPenalty = 1e6;

/** Relative load increase of a server at which every request fails. */
constexpr double kFailurePenalty = 20.0;

/** Random spread between equally loaded servers. Smaller than the load of one request. */
constexpr double kTieBreak = 0.05;

}  // namespace

std::optional<BackendServerName> PlainServerChooser::Choose(
    const ForwardingView& view,
    const ServiceName& service,
    const std::set<BackendServerName>& avoided) const {
  std::optional<BackendServerName> best;
  double least = std::numeric_limits<double>::infinity();
  for (const auto& [name, server] : view.servers) {
    if (server.service != service || server.draining || avoided.contains(name) ||
        !m_limits.MaySend(name)) {
      continue;
    }
    const double slots = std::max(1U, server.most_requests);
    double fill = (m_loads.UseOf(name).requests + 1.0) / slots;
    fill *= 1.0 + kFailurePenalty * m_health.FailureRate(name);
    fill += kTieBreak * RandomUnit(m_random);
    fill += m_health.IsExcluded(name) ? kExcludedPenalty : 0.0;
    if (fill < least) {
      least = fill;
      best = name;
    }
  }
  return best;
}

}  // namespace zinnia
