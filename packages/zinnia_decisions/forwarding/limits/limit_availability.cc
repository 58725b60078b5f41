#include "zinnia_decisions/forwarding/limits/limit_availability.h"

#include <algorithm>

#include "zinnia_decisions/forwarding/admission/room_queue.h"
#include "zinnia_decisions/forwarding/beliefs/forwarding_view.h"
#include "zinnia_decisions/forwarding/limits/server_limits.h"

namespace zinnia {
namespace {

/** Plain servers, and engines that hold the first layers. */
bool CanBeFirstServer(const ServerEntry& server) {
  const bool is_engine = !server.accelerator.empty();
  return !is_engine || (server.layers.Count() > 0 && server.layers.first == 0);
}

}  // namespace

LimitAvailability FindLimitAvailability(const ForwardingView& view,
                                        const ServiceName& service,
                                        const std::set<BackendServerName>& avoided,
                                        const ServerLimits& limits) {
  LimitAvailability outlook;
  if (limits.CountInForce() == 0) {
    return outlook;
  }
  outlook.all_at_limit = true;
  for (const auto& [name, server] : view.servers) {
    const bool is_choice = server.service == service && !server.draining &&
                           !avoided.contains(name) && CanBeFirstServer(server);
    if (!is_choice) {
      continue;
    }
    const std::optional<Duration> turn = limits.TimeUntilPermit(name);
    if (turn == Duration::zero()) {
      outlook.all_at_limit = false;
      continue;
    }
    outlook.at_limit.push_back(name);
    if (turn) {
      outlook.next_permit_in = std::min(*turn, outlook.next_permit_in.value_or(*turn));
    }
  }
  outlook.all_at_limit = outlook.all_at_limit && !outlook.at_limit.empty();
  return outlook;
}

bool MayWait(const LimitAvailability& outlook, bool queues, Duration latency_objective) {
  if (!outlook.all_at_limit) {
    return queues;
  }
  const Duration longest = std::min(latency_objective / 2, RoomQueue::kLongestWait);
  return outlook.next_permit_in && *outlook.next_permit_in <= longest;
}

}  // namespace zinnia
