#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

#include "zinnia_decisions/routing/link_table.h"
#include "zinnia_decisions/routing/server_rates.h"
#include "zinnia_world/fleet/fleet_snapshot.h"

namespace zinnia {

class LocalServerLoad;
class LocalServerLoads;

/** One backend server as a chooser needs it, copied out of the snapshot. */
struct IndexedServer {
  BackendServerName name;
  std::uint64_t name_hash = 0;
  std::uint32_t failure_domain = 0;
  BackendServerState state = BackendServerState::kLive;
  ServerRates rates;
  double reported_sessions = 0.0;
  TimePoint reported_at{};
  LocalServerLoad* local_load = nullptr;
};

/** A stage with the servers that may take it: right model, version and layers, not leaving. Numbers
    are positions in FleetIndex::Servers(). */
struct IndexedStage {
  LayerRange layers;
  std::vector<std::uint32_t> live;
  std::vector<std::uint32_t> suspect;
};

/** A pipeline that may get new sessions. */
struct IndexedPipeline {
  PipelineName name;
  std::string version;
  std::vector<IndexedStage> stages;
};

/** A FleetSnapshot put in order for choosing: servers by number, stages with their usable servers,
    pipelines by model. Holds no reference to the snapshot.

    @see IndexedChooser
*/
class FleetIndex {
 public:
  FleetIndex(const FleetSnapshot& fleet, LocalServerLoads& local_loads);

  const std::vector<IndexedServer>& Servers() const { return m_servers; }
  const LinkTable& Links() const { return m_links; }
  std::uint32_t OwnDomain() const { return m_own_domain; }
  double LiveInstances() const { return m_live_instances; }

  /** Null if the snapshot did not have the server. */
  const IndexedServer* Find(const BackendServerName& server) const;

  /** False if neither the configuration nor any pipeline names the model. */
  bool KnowsModel(const ModelName& model) const { return m_pipelines.contains(model); }
  std::span<const IndexedPipeline> PipelinesOf(const ModelName& model) const;

  /** All usable servers with this range of the model and version: those in pipelines if there are
      any, else every server that has it loaded. */
  IndexedStage ServersHolding(const ModelName& model,
                              const std::string& version,
                              LayerRange layers) const;

 private:
  void AddServers(const FleetSnapshot& fleet, LocalServerLoads& local_loads);
  void AddPipelines(const FleetSnapshot& fleet);
  IndexedStage MakeStage(const Pipeline& pipeline, const PipelineStage& stage) const;
  void AddIfUsable(std::uint32_t number, IndexedStage& stage) const;

  LinkTable m_links;
  std::uint32_t m_own_domain;
  double m_live_instances;
  std::vector<IndexedServer> m_servers;
  std::vector<std::optional<LoadedRange>> m_loaded;
  std::unordered_map<BackendServerName, std::uint32_t> m_server_positions;
  std::map<ModelName, std::vector<IndexedPipeline>> m_pipelines;
};

}  // namespace zinnia
