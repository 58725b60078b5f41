#pragma once

#include <memory>

#include "zinnia_world/fleet/fleet_snapshot.h"

namespace zinnia {

/** Gives the newest published picture of the fleet. Safe to call from any thread; never null. */
class SnapshotSource {
 public:
  virtual ~SnapshotSource() = default;
  virtual std::shared_ptr<const FleetSnapshot> Current() const = 0;
};

}  // namespace zinnia
