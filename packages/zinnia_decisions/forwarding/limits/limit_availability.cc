#include "zinnia_decisions/forwarding/limits/limit_availability.h"

#include <algorithm>

#include "zinnia_decisions/forwarding/admission/capacity_queue.h"
#include "zinnia_decisions/forwarding/limits/server_limits.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"

namespace zinnia {
namespace {

/** Whether the server is a plain server or an engine that holds the first layers. */
bool CanBeFirstServer(const ServerEntry& server) {
  const bool is_engine = !server.accelerator.empty();
  return !is_engine || (server.layers.Count() > 0 && server.layers.first == 0);
}

}  // namespace

LimitAvailability FindLimitAvailability(const ForwardingView& view,
                                        const ServiceName& service,
                                        const std::set<BackendServerName>& avoided,
                                        const ServerLimits& limits) {
  LimitAvailability availability;
  if (limits.CountInForce() == 0 && limits.CountPauses() == 0) {
    return availability;
  }
  availability.all_at_limit = true;
  for (const auto& [name, server] : view.servers) {
    const bool is_choice = server.service == service && !server.draining &&
                           !avoided.contains(name) && CanBeFirstServer(server);
    if (!is_choice) {
      continue;
    }
    const std::optional<Duration> wait = limits.TimeUntilPermit(name);
    if (wait == Duration::zero()) {
      availability.all_at_limit = false;
      continue;
    }
    availability.at_limit.push_back(name);
    if (wait) {
      availability.next_permit_in = std::min(*wait, availability.next_permit_in.value_or(*wait));
    }
  }
  availability.all_at_limit = availability.all_at_limit && !availability.at_limit.empty();
  return availability;
}

bool MayWait(const LimitAvailability& availability, bool queues, Duration latency_objective) {
  if (!availability.all_at_limit) {
    return queues;
  }
  const Duration longest = std::min(latency_objective / 2, CapacityQueue::kMaxWait);
  return availability.next_permit_in && *availability.next_permit_in <= longest;
}

}  // namespace zinnia
