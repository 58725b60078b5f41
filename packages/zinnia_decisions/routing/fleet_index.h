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

/** Routing data of one backend server, copied from the snapshot. */
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

/** A stage and its usable servers, which have the model, version and layers loaded and are live or
    suspect. Servers are given as positions in FleetIndex::Servers(). */
struct IndexedStage {
  LayerRange layers;
  std::vector<std::uint32_t> live;
  std::vector<std::uint32_t> suspect;
};

/** A pipeline that accepts new sessions. */
struct IndexedPipeline {
  PipelineName name;
  std::string version;
  std::vector<IndexedStage> stages;
};

/** Lookup tables over a FleetSnapshot: servers by position, pipelines by model, and the usable
    servers of each stage. Holds no reference to the snapshot, but points into the LocalServerLoads
    that it is built with.

    @see IndexedChooser
*/
class FleetIndex {
 public:
  FleetIndex(const FleetSnapshot& fleet, LocalServerLoads& local_loads);

  const std::vector<IndexedServer>& Servers() const { return m_servers; }
  const LinkTable& Links() const { return m_links; }
  std::uint32_t OwnDomain() const { return m_own_domain; }
  double LiveInstances() const { return m_live_instances; }

  /** Returns null if the snapshot does not contain the server. */
  const IndexedServer* Find(const BackendServerName& server) const;

  /** Returns true if the configuration or a pipeline names the model. */
  bool KnowsModel(const ModelName& model) const { return m_pipelines.contains(model); }
  std::span<const IndexedPipeline> PipelinesOf(const ModelName& model) const;

  /** Usable servers with this layer range of the model and version: those of a pipeline stage if
      there is one, else all that have the range loaded. */
  IndexedStage ServersHolding(const ModelName& model,
                              const std::string& version,
                              LayerRange layers) const;

 private:
  void AddServers(const FleetSnapshot& fleet, LocalServerLoads& local_loads);
  void AddPipelines(const FleetSnapshot& fleet);
  IndexedStage MakeStage(const Pipeline& pipeline, const PipelineStage& stage) const;
  void AddIfUsable(std::uint32_t position, IndexedStage& stage) const;

  LinkTable m_links;
  std::uint32_t m_own_domain;
  double m_live_instances;
  std::vector<IndexedServer> m_servers;
  std::vector<std::optional<LoadedRange>> m_loaded_ranges;
  std::unordered_map<BackendServerName, std::uint32_t> m_server_positions;
  std::map<ModelName, std::vector<IndexedPipeline>> m_pipelines;
};

}  // namespace zinnia
