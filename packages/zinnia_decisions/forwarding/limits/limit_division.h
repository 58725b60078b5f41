#pragma once

#include <vector>

#include "zinnia_world/names/names.h"

namespace zinnia {

struct Instance;

/** One instance's share of a server's request rate limit. */
struct LimitShare {
  double requests_per_second = 0.0;

  /** Number of requests that may be sent at once after an idle period. */
  double burst = 0.0;

  /** Number of instances in the fleet per instance that holds a share. */
  double instances_per_holder = 1.0;
};

/** Divides a server's limit between instances without coordination. For instances that see the same
    fleet, the sum of the shares must not exceed the limit. */
class LimitDivision {
 public:
  virtual ~LimitDivision() = default;

  /** `self` must be one of `instances`. `server_domain` is the server's failure domain. */
  virtual LimitShare ShareOf(const InstanceName& self,
                             const std::vector<Instance>& instances,
                             const BackendServerName& server,
                             const FailureDomainName& server_domain,
                             double requests_per_second) const = 0;
};

}  // namespace zinnia
