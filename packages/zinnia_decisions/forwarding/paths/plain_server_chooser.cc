#include "zinnia_decisions/forwarding/paths/plain_server_chooser.h"

#include <algorithm>
#include <limits>

#include "zinnia_decisions/forwarding/beliefs/forwarding_view.h"
#include "zinnia_decisions/forwarding/beliefs/load_tracker.h"
#include "zinnia_decisions/forwarding/beliefs/server_health.h"
#include "zinnia_decisions/forwarding/limits/server_limits.h"

namespace zinnia {
namespace {

/** An excluded server counts as this full: behind every other, but still there. */
constexpr double kExcludedPenalty = 1e6;

/** A server that fails all its requests counts as this many times as full. */
constexpr double kFailurePenalty = 20.0;

/** Spreads servers of equal load without outweighing one request more. */
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
    fill *= 1.0 + kFailurePenalty * m_health.FailureShare(name);
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
