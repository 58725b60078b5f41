#pragma once

#include "zinnia_decisions/forwarding/division/capacity_division.h"

namespace zinnia {

/** Shares in proportion to the streams that each instance has, the same on every server. */
class ProportionalDivision final : public CapacityDivision {
 public:
  double ShareOf(const BackendServerName& server, const ServiceDemand& demand) const override;
};

}  // namespace zinnia
