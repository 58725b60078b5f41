#include "zinnia_decisions/routing/fleet_index.h"

#include <algorithm>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_decisions/routing/local_server_loads.h"

namespace zinnia {

FleetIndex::FleetIndex(const FleetSnapshot& fleet, LocalServerLoads& local_loads)
    : m_links(fleet.links),
      m_own_domain(m_links.InternDomain(fleet.own_failure_domain)),
      m_live_instances(std::max<double>(1.0, static_cast<double>(fleet.live_instances))) {
  AddServers(fleet, local_loads);
  AddPipelines(fleet);
}

std::span<const IndexedPipeline> FleetIndex::PipelinesOf(const ModelName& model) const {
  const auto found = m_pipelines.find(model);
  return found == m_pipelines.end() ? std::span<const IndexedPipeline>{} : found->second;
}

const IndexedServer* FleetIndex::Find(const BackendServerName& server) const {
  const auto found = m_server_positions.find(server);
  return found == m_server_positions.end() ? nullptr : &m_servers[found->second];
}

IndexedStage FleetIndex::ServersHolding(const ModelName& model,
                                        const std::string& version,
                                        LayerRange layers) const {
  for (const IndexedPipeline& pipeline : PipelinesOf(model)) {
    for (const IndexedStage& stage : pipeline.stages) {
      const bool usable = !stage.live.empty() || !stage.suspect.empty();
      if (pipeline.version == version && stage.layers == layers && usable) {
        return stage;
      }
    }
  }
  IndexedStage stage{.layers = layers};
  const LoadedRange wanted{model, version, layers};
  for (std::uint32_t position = 0; position < m_servers.size(); ++position) {
    if (m_loaded_ranges[position] == wanted) {
      AddIfUsable(position, stage);
    }
  }
  return stage;
}

void FleetIndex::AddServers(const FleetSnapshot& fleet, LocalServerLoads& local_loads) {
  m_servers.reserve(fleet.servers.size());
  for (const auto& [name, view] : fleet.servers) {
    m_server_positions.emplace(name, static_cast<std::uint32_t>(m_servers.size()));
    const double reported = view.load.reported_running + view.load.reported_queued;
    m_servers.push_back({.name = name,
                         .name_hash = Hash64(name),
                         .failure_domain = m_links.InternDomain(view.server.failure_domain),
                         .state = view.state,
                         .rates = RatesOf(view),
                         .reported_sessions = reported,
                         .reported_at = view.load.reported_at,
                         .local_load = &local_loads.Of(name)});
    m_loaded_ranges.push_back(view.server.loaded);
  }
}

void FleetIndex::AddPipelines(const FleetSnapshot& fleet) {
  if (fleet.configuration != nullptr) {
    for (const auto& [name, model] : fleet.configuration->models()) {
      m_pipelines[name];
    }
  }
  for (const Pipeline& pipeline : fleet.pipelines) {
    std::vector<IndexedPipeline>& model_pipelines = m_pipelines[pipeline.model];
    if (pipeline.draining || pipeline.stages.empty()) {
      continue;
    }
    IndexedPipeline indexed{.name = pipeline.name, .version = pipeline.version};
    for (const PipelineStage& stage : pipeline.stages) {
      indexed.stages.push_back(MakeStage(pipeline, stage));
    }
    model_pipelines.push_back(std::move(indexed));
  }
}

IndexedStage FleetIndex::MakeStage(const Pipeline& pipeline, const PipelineStage& stage) const {
  IndexedStage indexed{.layers = stage.layers};
  const LoadedRange wanted{pipeline.model, pipeline.version, stage.layers};
  for (const BackendServerName& replica : stage.replicas) {
    const auto found = m_server_positions.find(replica);
    if (found != m_server_positions.end() && m_loaded_ranges[found->second] == wanted) {
      AddIfUsable(found->second, indexed);
    }
  }
  return indexed;
}

void FleetIndex::AddIfUsable(std::uint32_t position, IndexedStage& stage) const {
  const IndexedServer& server = m_servers[position];
  if (server.rates.decode_tokens_per_second <= 0.0) {
    return;
  }
  if (server.state == BackendServerState::kLive) {
    stage.live.push_back(position);
  } else if (server.state == BackendServerState::kSuspect) {
    stage.suspect.push_back(position);
  }
}

}  // namespace zinnia
