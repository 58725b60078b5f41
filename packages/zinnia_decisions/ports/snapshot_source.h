#pragma once

#include <memory>

#include "zinnia_world/fleet/fleet_snapshot.h"

namespace zinnia {

/** Provides the latest published fleet snapshot. Thread-safe; never null. */
class SnapshotSource {
 public:
  virtual ~SnapshotSource() = default;
  virtual std::shared_ptr<const FleetSnapshot> Current() const = 0;
};

}  // namespace zinnia
