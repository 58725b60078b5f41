#pragma once

#include <vector>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/fleet/backend_server.h"
#include "zinnia_world/fleet/pipeline.h"

namespace zinnia {

/** A backend server that can be given layers. `rate` is how much layer cost it works off in a
    second, `memory_layers` how many layers it can hold. */
struct PlannerServer {
  BackendServerName name;
  FailureDomainName failure_domain;
  double rate = 1.0;
  std::uint32_t memory_layers = 0;
  std::optional<LoadedRange> loaded;
};

/** A model to be served: the cost of each layer and the part of all tokens that it has to give. */
struct PlannerModel {
  ModelName name;
  std::string version;
  std::vector<double> layer_costs;
  double demand_share = 1.0;
  double bytes_per_layer = 0.0;
};

/** What a server has to load to take its place. */
struct PlannedLoad {
  BackendServerName server;
  LoadedRange target;
  double bytes = 0.0;
};

/** Who holds what, as one pipeline a model, and which loads lead there, in this order.
    `token_rate` is what all models give together at their shares; `token_rate_bound` is what they
    could if every server could be split at will. */
struct PipelinePlan {
  std::vector<Pipeline> pipelines;
  std::vector<PlannedLoad> loads;
  double token_rate = 0.0;
  double token_rate_bound = 0.0;
};

/** Decides which layer range each backend server of a pool should hold.

    Servers are shared out between models by demand, and within a model into stages of about equal
    rate, each with servers in two failure domains or more, so that the loss of any one domain
    leaves every model served. Layers are cut in proportion to the stages' rates within the memory
    of their servers. Of the possible numbers of stages the one with the highest rate is taken, or
    the lowest number close to it, because each stage adds latency to every token.

    Cost: servers times stages for each number of stages tried. @see OrderLoads
*/
class PipelinePlanner {
 public:
  /** Fails with kInvalidRequest if a model cannot be served through the loss of every domain. */
  static Result<PipelinePlan> Form(const std::vector<PlannerServer>& servers,
                                   const std::vector<PlannerModel>& models);
};

}  // namespace zinnia
