#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "zinnia_world/configuration/configuration.h"
#include "zinnia_world/fleet/backend_server.h"
#include "zinnia_world/fleet/link.h"
#include "zinnia_world/fleet/pipeline.h"
#include "zinnia_world/fleet/server_load.h"

namespace zinnia {

/** A backend server with its state and load, as observed by one instance. */
struct ServerView {
  BackendServer server;
  BackendServerState state = BackendServerState::kLive;
  ServerLoad load;
  double weight = 1.0;
};

/** An immutable snapshot of the fleet and the current configuration.

    The control thread builds a new snapshot after each change and publishes it by swapping a shared
    pointer, so that traffic threads read it without locks. Never modify a published snapshot.
*/
struct FleetSnapshot {
  std::uint64_t sequence = 0;
  TimePoint taken_at{};
  FailureDomainName own_failure_domain;
  std::map<BackendServerName, ServerView> servers;
  std::vector<Pipeline> pipelines;
  std::vector<Link> links;
  std::size_t live_instances = 1;
  std::shared_ptr<const Configuration> configuration;
};

}  // namespace zinnia
