#pragma once

#include <cstdint>

#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** A running zinniad process. `start` distinguishes successive starts under the same name. */
struct Instance {
  InstanceName name;
  NetworkAddress peer_address;
  FailureDomainName failure_domain;
  RegionName region;
  std::uint64_t start = 0;

  /** Where it takes requests from other instances, at the IP number of peer_address; 0: nowhere. */
  std::uint16_t requests_port = 0;

  /** CPU cores and network bandwidth of the instance's machine; 0 if unknown. */
  double cores = 0.0;
  double link_mbps = 0.0;

  bool operator==(const Instance&) const = default;
};

}  // namespace zinnia
