#include "zinnia_decisions/routing/pool_capacity.h"

#include <algorithm>
#include <limits>

#include "zinnia_decisions/routing/fleet_index.h"
#include "zinnia_decisions/routing/local_server_loads.h"

namespace zinnia {
namespace {

double BottleneckTokensPerSecond(const FleetIndex& index, const IndexedPipeline& pipeline) {
  double bottleneck = std::numeric_limits<double>::infinity();
  for (const IndexedStage& stage : pipeline.stages) {
    double tokens_per_second = 0.0;
    for (const std::uint32_t server : stage.live) {
      tokens_per_second += index.Servers()[server].rates.decode_tokens_per_second;
    }
    bottleneck = std::min(bottleneck, tokens_per_second);
  }
  return bottleneck;
}

}  // namespace

double ConcurrentSessionsFor(const FleetSnapshot& fleet,
                             const ModelName& model,
                             double seconds_between_tokens) {
  LocalServerLoads no_loads;
  const FleetIndex index(fleet, no_loads);
  double tokens_per_second = 0.0;
  for (const IndexedPipeline& pipeline : index.PipelinesOf(model)) {
    tokens_per_second += BottleneckTokensPerSecond(index, pipeline);
  }
  return tokens_per_second * seconds_between_tokens / index.LiveInstances();
}

}  // namespace zinnia
