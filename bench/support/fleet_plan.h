#pragma once

#include <map>
#include <vector>

#include "zinnia_world/fleet/fleet_snapshot.h"

namespace zinnia::bench {

/** How long one iteration of a batching engine takes: base, and more for each token in it. */
struct EngineCost {
  double base_seconds = 0.0;
  double seconds_per_decode = 0.0;
  double seconds_per_prefill = 0.0;
  std::size_t largest_batch = 16;

  /** Seconds of the server that one decoded token takes in a full batch. */
  double FullBatchSecondsPerToken() const;
};

/** A backend server that holds that many layers on that kind. */
EngineCost CostOf(const BackendServer& server);

/** Average work of a request to one model. */
struct ModelDemand {
  double share = 1.0;
  double prompt_tokens = 0.0;
  double uncached_prompt_tokens = 0.0;
  double answer_tokens = 0.0;
};

/** A fleet under test: servers with what they hold, pipelines, links, where the instances are. */
struct FleetPlan {
  std::vector<BackendServer> servers;
  std::vector<Pipeline> pipelines;
  std::vector<Link> links;
  std::vector<FailureDomainName> instance_domains;
  std::map<ModelName, ModelDemand> demand;
};

inline constexpr double kFastOneWaySeconds = 0.0003;
inline constexpr double kFastBytesPerSecond = 1.25e9;
inline constexpr double kStateBytes = 16'384.0;
inline constexpr double kTokenBytes = 64.0;

/** Thirty workers of three kinds in three failure domains, two models, eight instances; the link
    between the first and the last domain is a hundred times slower than the others. */
FleetPlan MakeThirtyWorkers();

/** The link between two domains; a fast one if the plan names none. */
Link LinkBetween(const FleetPlan& plan, const FailureDomainName& from, const FailureDomainName& to);

}  // namespace zinnia::bench
