#pragma once

#include "zinnia_decisions/forwarding/limits/limit_division.h"

namespace zinnia {

/** A few instances share the limit equally, the others leave the server alone.

    Divided between all, each part of a large fleet would be a small fraction of a request a second:
    one request of each at the same time is many times the limit, and whoever has no requests just
    then lets its part go to waste. So about as many instances hold parts as the server takes
    requests a second, chosen by rendezvous hashing, those of the server's failure domain first: all
   instances choose alike, and one that goes moves only its own parts.
*/
class RendezvousLimitDivision final : public LimitDivision {
 public:
  LimitShare ShareOf(const InstanceName& self,
                     const std::vector<Instance>& instances,
                     const BackendServerName& server,
                     const FailureDomainName& server_domain,
                     double requests_per_second) const override;
};

}  // namespace zinnia
