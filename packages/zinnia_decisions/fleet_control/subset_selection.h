#pragma once

#include <map>
#include <set>

#include "zinnia_decisions/fleet_control/server_table.h"
#include "zinnia_world/configuration/configuration.h"

namespace zinnia {

/** The limit on the backend servers of one model that an instance connects to. */
constexpr std::size_t kMaxServersPerModel = 64;

/** Selects the backend servers that an instance connects to, about kMaxServersPerModel per model.

    Rendezvous hashing on the instance's name keeps the selection stable across restarts and changes
    of the fleet, and distributes instances evenly over servers. Whole pipelines are selected first,
    because a pipeline with a stage outside the subset is unusable; the rest is balanced over
    failure domains, accelerator kinds and layer ranges. Servers of plain services are grouped by
    service, and servers that are not in the configuration by pool.
*/
std::set<BackendServerName> SelectServers(const InstanceName& self,
                                          const std::map<BackendServerName, ServerRow>& rows,
                                          const Configuration& configuration);

}  // namespace zinnia
