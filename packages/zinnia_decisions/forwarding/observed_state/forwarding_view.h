#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/observed_state/configuration_in_force.h"
#include "zinnia_decisions/ports/store_revision.h"
#include "zinnia_world/fleet/instance.h"
#include "zinnia_world/forwarding/forwarding_rules.h"
#include "zinnia_world/forwarding/server_entry.h"

namespace zinnia {

class RouteTable;
class ServiceClasses;

/** Immutable snapshot of the state that forwarding decisions use. The control thread publishes a
    new one after each change; traffic threads read the latest. */
struct ForwardingView {
  /** Null until a configuration is loaded. Until then requests are neither forwarded nor denied. */
  std::shared_ptr<const ForwardingRules> rules;
  std::shared_ptr<const RouteTable> routes;
  ConfigurationInForce configuration;

  /** Null until a configuration is loaded. */
  std::shared_ptr<const ServiceClasses> classes;

  /** Includes draining servers, excludes servers that have left. */
  std::map<BackendServerName, ServerEntry> servers;

  /** Incarnations of servers that have restarted since. Requests that ran there are lost. */
  std::set<BackendServerName> ended_incarnations;

  /** Number of live instances, including this one. At least 1. */
  std::size_t live_instances = 1;

  /** Instances that are live or were within the last few seconds; shared limits are divided among
      them. Null if this is the only instance. */
  std::shared_ptr<const std::vector<Instance>> instances;

  /** Number of instances that a shared limit is divided by. Includes recently live ones, since a
      restarting instance has used its share already and will use it again. */
  std::size_t InstancesSharingLimits() const {
    return std::max(live_instances, instances ? instances->size() : std::size_t{1});
  }

  /** Store revision of this view, and the time at which it was read. */
  StoreRevision revision;
  TimePoint as_of{};
};

}  // namespace zinnia
