#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_world/contracts/model.h"
#include "zinnia_world/fleet/backend_server.h"

namespace zinnia {

/** What the planner knows of one engine: what it holds, what it should hold, and whether it may get
    an order now. `busy`: it is loading, or an order to it may still be on its way. */
struct EnginePlanView {
  BackendServerName server;
  std::optional<LoadedRange> loaded;
  std::optional<LoadedRange> desired;
  bool ready = false;
  bool busy = false;
  bool may_order = false;
};

/** What to order now, most urgent first, and which servers wait because they carry the last ready
    replica of a stage. */
struct LoadPlan {
  std::vector<BackendServerName> loads;
  std::vector<BackendServerName> blocked;
};

/** Chooses which engines load next, so that at most `most_loads` use the rate-limited weight store
    at once.

    Order: what completes a pipeline of a model that has none first; among those, the model with the
    fewest layers missing; then other replicas, small ranges first. Ending one load early unblocks
    a model; sharing the weight store among all would finish them all late.

    A server is left alone as long as loading would take the last complete pipeline of its model
    away, or the last ready replica of a stage in the version that the model is configured for.
    An upgrade in place therefore needs a spare replica of each stage.
*/
LoadPlan PlanLoads(std::vector<EnginePlanView> engines,
                   const std::map<ModelName, Model>& models,
                   std::size_t most_loads);

}  // namespace zinnia
