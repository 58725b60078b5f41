#include "zinnia_decisions/fleet_control/snapshot_builder.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace zinnia {
namespace {

using LoadedRangeKey = std::tuple<ModelName, std::string, std::uint32_t, std::uint32_t>;

/** The servers of the subset by loaded range. */
std::map<LoadedRangeKey, std::vector<BackendServerName>> IndexByLoadedRange(
    const SnapshotInputs& inputs) {
  std::map<LoadedRangeKey, std::vector<BackendServerName>> held;
  for (const BackendServerName& name : inputs.subset) {
    const auto row = inputs.servers.rows().find(name);
    if (row != inputs.servers.rows().end() && row->second.server.loaded) {
      const LoadedRange& loaded = *row->second.server.loaded;
      held[{loaded.model, loaded.version, loaded.layers.first, loaded.layers.end}].push_back(name);
    }
  }
  return held;
}

ServerView MakeView(const ServerRow& row, const SnapshotInputs& inputs) {
  ServerView view{row.server, inputs.servers.StateOf(row), row.load};
  const bool leaving = inputs.leaving.IsLeaving(row.server.name, row.server.incarnation);
  if (leaving && view.state < BackendServerState::kLeaving) {
    view.state = BackendServerState::kLeaving;
  }
  const auto order = inputs.configuration->server_orders().find(row.server.name);
  if (order != inputs.configuration->server_orders().end()) {
    view.weight = order->second.weight;
  }
  return view;
}

}  // namespace

std::shared_ptr<const FleetSnapshot> SnapshotBuilder::Build(const SnapshotInputs& inputs) {
  MatchPipelines(inputs);
  auto snapshot = std::make_shared<FleetSnapshot>();
  snapshot->sequence = ++m_sequence;
  snapshot->taken_at = inputs.now;
  snapshot->own_failure_domain = inputs.own_failure_domain;
  snapshot->live_instances = inputs.live_instances;
  snapshot->configuration = inputs.configuration;
  snapshot->links = inputs.configuration->links();
  snapshot->pipelines = m_pipelines;
  for (const BackendServerName& name : inputs.subset) {
    const auto row = inputs.servers.rows().find(name);
    if (row != inputs.servers.rows().end()) {
      snapshot->servers.emplace_hint(snapshot->servers.end(), name, MakeView(row->second, inputs));
    }
  }
  return snapshot;
}

void SnapshotBuilder::MatchPipelines(const SnapshotInputs& inputs) {
  const bool same_pipelines = m_matched_configuration == inputs.configuration ||
                              (m_matched_configuration && m_matched_configuration->pipelines() ==
                                                              inputs.configuration->pipelines());
  const bool same = same_pipelines && m_matched_topology == inputs.servers.topology() &&
                    m_matched_subset == inputs.subset;
  if (same) {
    m_matched_configuration = inputs.configuration;
    return;
  }
  m_matched_configuration = inputs.configuration;
  m_matched_topology = inputs.servers.topology();
  m_matched_subset = inputs.subset;
  m_pipelines.clear();
  const auto held = IndexByLoadedRange(inputs);
  for (const auto& [name, configured] : inputs.configuration->pipelines()) {
    Pipeline pipeline = configured;
    bool any = false;
    for (PipelineStage& stage : pipeline.stages) {
      const auto holders =
          held.find({pipeline.model, pipeline.version, stage.layers.first, stage.layers.end});
      std::vector<BackendServerName> usable;
      if (holders != held.end() && stage.replicas.empty()) {
        usable = holders->second;
      } else if (holders != held.end()) {
        std::copy_if(stage.replicas.begin(), stage.replicas.end(), std::back_inserter(usable),
                     [&](const BackendServerName& replica) {
                       return std::binary_search(holders->second.begin(), holders->second.end(),
                                                 replica);
                     });
      }
      stage.replicas = std::move(usable);
      any = any || !stage.replicas.empty();
    }
    if (any) {
      m_pipelines.push_back(std::move(pipeline));
    }
  }
}

}  // namespace zinnia
