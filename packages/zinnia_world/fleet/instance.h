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

  bool operator==(const Instance&) const = default;
};

}  // namespace zinnia
