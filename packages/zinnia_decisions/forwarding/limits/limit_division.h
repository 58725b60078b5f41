#pragma once

#include <vector>

#include "zinnia_world/names/names.h"

namespace zinnia {

struct Instance;

/** What one instance may send of the requests that a server takes from all instances together. */
struct LimitShare {
  double requests_per_second = 0.0;

  /** What it may send at once after it has sent none for a while. */
  double burst = 0.0;

  /** How many instances there are for each that may send. */
  double instances_per_holder = 1.0;
};

/** Divides a server's limit between instances that do not ask each other. Instances that know the
    same fleet must come to parts whose sum is no more than the limit. */
class LimitDivision {
 public:
  virtual ~LimitDivision() = default;

  /** `self` is one of `instances`; the server is of `server_domain`. */
  virtual LimitShare ShareOf(const InstanceName& self,
                             const std::vector<Instance>& instances,
                             const BackendServerName& server,
                             const FailureDomainName& server_domain,
                             double requests_per_second) const = 0;
};

}  // namespace zinnia
