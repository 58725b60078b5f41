#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/instance.h"
#include "zinnia_world/forwarding/forwarding_rules.h"
#include "zinnia_world/forwarding/server_entry.h"

namespace zinnia {

class RouteTable;

/** Everything that forwarding believes at one moment. Immutable; control publishes a new one at
    each change, and traffic reads whichever is newest. */
struct ForwardingView {
  /** Null until a configuration is known: then nothing can be forwarded or denied. */
  std::shared_ptr<const ForwardingRules> rules;
  std::shared_ptr<const RouteTable> routes;

  /** Draining servers are in here, those that left are not. */
  std::map<BackendServerName, ServerEntry> servers;

  /** Starts of servers that have started again since: what ran there is lost. */
  std::set<BackendServerName> ended_incarnations;

  /** This instance and the peers that it knows to live. At least 1. */
  std::size_t live_instances = 1;

  /** Those that live, or did some seconds ago: who takes part in what is divided. Null in a fleet
     of one. */
  std::shared_ptr<const std::vector<Instance>> instances;

  /** How many instances a bound on a sum is divided by. More than live at the moment: one that
      restarts has spent its part already and comes back to spend it again. */
  std::size_t InstancesSharingLimits() const {
    return std::max(live_instances, instances ? instances->size() : std::size_t{1});
  }

  /** The store's revision that this view stands for, and when it was read. */
  std::uint64_t revision = 0;
  TimePoint as_of{};
};

}  // namespace zinnia
