#pragma once

#include <optional>
#include <set>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class ServerLimits;
struct ForwardingView;

/** What servers' limits leave a request of one service. */
struct LimitAvailability {
  /** Servers where requests begin that take none from this instance now. */
  std::vector<BackendServerName> at_limit;

  /** Whether there is no other server where a request could begin. */
  bool all_at_limit = false;

  /** Until the first of them takes one from this instance; nothing if none will. */
  std::optional<Duration> next_permit_in;
};

/** Looks at the servers of `service` that requests may be sent to, but for `avoided`. */
LimitAvailability FindLimitAvailability(const ForwardingView& view,
                                        const ServiceName& service,
                                        const std::set<BackendServerName>& avoided,
                                        const ServerLimits& limits);

/** Whether a request that found no server waits. `queues`: its kind waits for room. For a server's
    wait every kind waits, unless it would come too late: then it is refused at once. */
bool MayWait(const LimitAvailability& availability, bool queues, Duration latency_objective);

}  // namespace zinnia
