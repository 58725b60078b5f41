#pragma once

#include <optional>
#include <set>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class ServerLimits;
struct ForwardingView;

/** Which servers of a service are currently closed to this instance by their limits or pauses. */
struct LimitAvailability {
  /** First servers to which this instance may not send now. */
  std::vector<BackendServerName> at_limit;

  /** Whether every candidate for the first server is at its limit or pausing. */
  bool all_at_limit = false;

  /** Time until the first of these servers accepts a request; nullopt if this instance has no share
      of any of their limits. */
  std::optional<Duration> next_permit_in;
};

/** Considers the possible first servers of `service` that are not draining and not in `avoided`. */
LimitAvailability FindLimitAvailability(const ForwardingView& view,
                                        const ServiceName& service,
                                        const std::set<BackendServerName>& avoided,
                                        const ServerLimits& limits);

/** Whether a request for which no server was found should wait. `queues` tells whether its route
    waits for capacity. If all servers are at their limits, every request waits, unless the next
    permit would come too late or never. */
bool MayWait(const LimitAvailability& availability, bool queues, Duration latency_objective);

}  // namespace zinnia
