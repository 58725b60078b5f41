#pragma once

#include <memory>
#include <set>
#include <vector>

#include "zinnia_decisions/fleet_control/leaving_tracker.h"
#include "zinnia_decisions/fleet_control/server_table.h"
#include "zinnia_world/fleet/fleet_snapshot.h"

namespace zinnia {

struct SnapshotInputs {
  const ServerTable& servers;
  const LeavingTracker& leaving;
  const std::set<BackendServerName>& subset;
  std::shared_ptr<const Configuration> configuration;
  FailureDomainName own_failure_domain;
  std::size_t live_instances = 1;
  TimePoint now{};
};

/** Builds fleet snapshots. Reuses the previous pipelines while their inputs are unchanged, because
    matching pipelines with servers is expensive.

    @see FleetSnapshot, InstanceControl
*/
class SnapshotBuilder {
 public:
  std::shared_ptr<const FleetSnapshot> Build(const SnapshotInputs& inputs);

 private:
  void MatchPipelines(const SnapshotInputs& inputs);

  std::uint64_t m_sequence = 0;
  std::uint64_t m_matched_topology = 0;
  std::shared_ptr<const Configuration> m_matched_configuration;
  std::set<BackendServerName> m_matched_subset;
  std::vector<Pipeline> m_pipelines;
};

}  // namespace zinnia
