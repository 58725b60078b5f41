#pragma once

#include "zinnia_decisions/forwarding/division/capacity_quota.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class Clock;
struct ServerCapacity;
struct ServerUse;

/** This instance's quotas on servers whose capacity is scarce.

    Instances learn of each other's requests from reports that are 0.4 to 1.6 s old. If each filled
    the capacity that these show as free, all together would overfill the server. Each instance
    therefore keeps what it used when the reports were made, and adds at most its share of what was
    free then. What an instance keeps moves slowly towards its share of the server.

    Instances report their quotas but do not apply them; see docs/design/capacity_quotas.md.
*/
class CapacityQuotas {
 public:
  /** `clock` must outlive the object. */
  CapacityQuotas(const Clock& clock, InstanceName self);

  /** `share`: of this instance, from 0 to 1. `past`: its use at the time that the reports are from.
      `others`: the sum in the reports. `quota_share`: see GenerationSize. */
  CapacityQuota QuotaOf(const ServerCapacity& capacity,
                        double share,
                        const ServerUse& past,
                        const ServerUse& others,
                        double quota_share) const;

  /** Number from 0 to below 1 that depends on this instance, `key` and the present second.
     Fractions of a request are rounded up where it is high. */
  double Rounding(const BackendServerName& key) const;

 private:
  const Clock& m_clock;
  const InstanceName m_self;
};

}  // namespace zinnia
