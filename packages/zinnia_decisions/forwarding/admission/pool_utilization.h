#pragma once

#include "zinnia_world/names/names.h"

namespace zinnia {

class LoadTracker;
class ServerHealth;
struct ForwardingView;

/** How many requests a pool of layered engines runs, and how many it could run at once. */
struct PoolUtilization {
  double running = 0.0;

  /** Summed over failure domains, since requests seldom cross between them: the slots of a domain's
      first servers, or the requests of usual size that its scarcest layer has memory for. */
  double capacity = 0.0;

  /** 0 if the capacity is unknown. */
  double Ratio() const { return capacity > 0.0 ? running / capacity : 0.0; }
};

/** Draining and suspect servers have no capacity; their requests must find room elsewhere. Requires
    that the service has a layered engine profile. */
PoolUtilization FindPoolUtilization(const ForwardingView& view,
                                    const ServiceName& service,
                                    const LoadTracker& loads,
                                    const ServerHealth& health);

}  // namespace zinnia
