#pragma once

#include <map>
#include <set>

#include "zinnia_decisions/fleet_control/server_table.h"
#include "zinnia_world/configuration/configuration.h"

namespace zinnia {

/** Backend servers of one model that one instance speaks to, at most. */
constexpr std::size_t kMaxServersPerModel = 64;

/** Chooses the backend servers that an instance speaks to: all of a model with up to 64, else 64.

    Rendezvous hashing on the instance's name makes the choice the same after a restart, moves
   little when servers come and go, and makes the subsets of all instances overlap evenly. Whole
   pipelines are taken first, because a pipeline with one stage outside the subset is of no use; the
   rest are mixed over failure domains, accelerator kinds and layer ranges. Servers of plain
   services are grouped by service in the same way; servers that no configuration names, by pool.
*/
std::set<BackendServerName> SelectServers(const InstanceName& self,
                                          const std::map<BackendServerName, ServerRow>& rows,
                                          const Configuration& configuration);

}  // namespace zinnia
