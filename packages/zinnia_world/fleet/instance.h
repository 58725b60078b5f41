#pragma once

#include <cstdint>

#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** A running zinniad: one of the system's own entry instances. `start` tells a restarted instance
    from its former self. */
struct Instance {
  InstanceName name;
  NetworkAddress peer_address;
  FailureDomainName failure_domain;
  RegionName region;
  std::uint64_t start = 0;

  /** What its machine gives it: processor cores and the speed of its link. 0 if it does not say. */
  double cores = 0.0;
  double link_mbps = 0.0;

  bool operator==(const Instance&) const = default;
};

}  // namespace zinnia
