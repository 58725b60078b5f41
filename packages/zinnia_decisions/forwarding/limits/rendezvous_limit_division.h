#pragma once

#include "zinnia_decisions/forwarding/limits/limit_division.h"

namespace zinnia {

/** Divides a limit equally between a few instances; the others do not use the server.

    The number of holders grows with the limit, because shares of a small fraction of a request per
    second are easily exceeded by concurrent requests and often left unused. Holders are chosen by
    rendezvous hashing, instances in the server's failure domain first, so that all instances agree
    and a departing instance affects only its own shares.
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
