#pragma once

#include "zinnia_world/names/names.h"

namespace zinnia {

struct ServiceDemand;

/** Divides the capacity of a server between instances without coordination. */
class CapacityDivision {
 public:
  virtual ~CapacityDivision() = default;

  /** This instance's share of the server, from 0 to 1. */
  virtual double ShareOf(const BackendServerName& server, const ServiceDemand& demand) const = 0;
};

}  // namespace zinnia
