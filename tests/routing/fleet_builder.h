#pragma once

#include <string>
#include <vector>

#include "zinnia_decisions/routing/pipeline_chooser.h"
#include "zinnia_world/fleet/fleet_snapshot.h"

namespace zinnia {

/** Builds fleet snapshots for tests. Servers are in failure domain "a" with "v1" of "model" loaded
    unless stated otherwise. */
class FleetBuilder {
 public:
  FleetBuilder() { m_fleet.own_failure_domain = "a"; }

  ServerView& AddServer(const BackendServerName& name,
                        LayerRange layers,
                        const FailureDomainName& domain = "a",
                        AcceleratorKind kind = AcceleratorKind::kLarge) {
    ServerView view;
    view.server.name = name;
    view.server.failure_domain = domain;
    view.server.accelerator = kind;
    view.server.loaded = LoadedRange{"model", "v1", layers};
    return m_fleet.servers[name] = view;
  }

  void AddPipeline(const PipelineName& name, std::vector<PipelineStage> stages) {
    m_fleet.pipelines.push_back({name, "model", "v1", std::move(stages)});
  }

  FleetSnapshot& Fleet() { return m_fleet; }

 private:
  FleetSnapshot m_fleet;
};

/** Two stages with one replica in each of the failure domains a, b, c: "first-N" and "second-N". */
inline FleetSnapshot MakeTwoStageFleet() {
  FleetBuilder builder;
  const LayerRange first{0, 8};
  const LayerRange second{8, 16};
  PipelineStage stages[] = {{first, {}}, {second, {}}};
  const FailureDomainName domains[] = {"a", "b", "c"};
  for (int replica = 0; replica < 3; ++replica) {
    stages[0].replicas.push_back("first-" + std::to_string(replica));
    stages[1].replicas.push_back("second-" + std::to_string(replica));
    builder.AddServer(stages[0].replicas.back(), first, domains[replica]);
    builder.AddServer(stages[1].replicas.back(), second, domains[replica]);
  }
  builder.AddPipeline("pipeline", {stages[0], stages[1]});
  return builder.Fleet();
}

inline RouteQuery MakeQuery(std::uint64_t prefix_hash = 0) {
  return {.model = "model", .prompt_tokens = 50, .answer_tokens = 50, .prefix_hash = prefix_hash};
}

}  // namespace zinnia
