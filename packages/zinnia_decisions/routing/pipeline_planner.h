#pragma once

#include <vector>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/fleet/backend_server.h"
#include "zinnia_world/fleet/pipeline.h"

namespace zinnia {

/** A backend server available to the planner. `rate` is the layer cost that it computes per second,
    `memory_layers` the number of layers that fit into its memory. */
struct PlannerServer {
  BackendServerName name;
  FailureDomainName failure_domain;
  double rate = 1.0;
  std::uint32_t memory_layers = 0;
  std::optional<LoadedRange> loaded;
};

/** A model to be served. `demand_share` is its fraction of all tokens. */
struct PlannerModel {
  ModelName name;
  std::string version;
  std::vector<double> layer_costs;
  double demand_share = 1.0;
  double bytes_per_layer = 0.0;
};

/** A layer range that a server has to load. */
struct PlannedLoad {
  BackendServerName server;
  LoadedRange target;
  double bytes = 0.0;
};

/** One pipeline per model and the ordered loads that establish them. `token_rate` is that of
    all models together at their demand shares; `token_rate_bound` is its upper bound if servers
    could be divided arbitrarily. */
struct PipelinePlan {
  std::vector<Pipeline> pipelines;
  std::vector<PlannedLoad> loads;
  double token_rate = 0.0;
  double token_rate_bound = 0.0;
};

/** Assigns a layer range to each backend server of a pool.

    Servers are allocated to models by demand, and within a model to stages of about equal rate.
    Each stage spans at least two failure domains, so that every model survives the loss of one.
    Layers are partitioned in proportion to the stages' rates, within the memory of their servers.
    A further stage is added only if it increases the rate noticeably, because each stage adds
    latency to every token.

    The running time is proportional to servers times stages for each number of stages tried.

    @see OrderLoads
*/
class PipelinePlanner {
 public:
  /** Fails with kInvalidRequest if a model would not survive the loss of one failure domain. */
  static Result<PipelinePlan> Plan(const std::vector<PlannerServer>& servers,
                                   const std::vector<PlannerModel>& models);
};

}  // namespace zinnia
