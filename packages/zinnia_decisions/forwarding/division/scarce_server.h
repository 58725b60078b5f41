#pragma once

#include <cstddef>
#include <vector>

#include "zinnia_decisions/forwarding/division/capacity_quota.h"
#include "zinnia_decisions/forwarding/division/server_capacity.h"
#include "zinnia_decisions/forwarding/division/service_demand.h"
#include "zinnia_decisions/forwarding/observed_state/server_use.h"

namespace zinnia {

class FleetQuotas;
class LoadTracker;
struct ForwardingView;

/** A scarce server with this instance's quota, for logs and gauges. */
struct ScarceServer {
  ServerCapacity capacity;
  ServiceDemand demand;
  CapacityQuota quota;
  ServerUse own;

  /** Use by all instances, as known from reports. */
  ServerUse total;

  /** Larger of the shares of requests and memory in use. */
  double utilization = 0.0;
};

/** Returns the servers of prioritized services on which this instance has quotas, the most used
    first, at most `count`. */
std::vector<ScarceServer> FindScarceServers(const ForwardingView& view,
                                            const FleetQuotas& quotas,
                                            const LoadTracker& loads,
                                            std::size_t count);

}  // namespace zinnia
