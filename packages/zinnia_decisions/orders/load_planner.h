#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_world/contracts/model.h"
#include "zinnia_world/fleet/backend_server.h"

namespace zinnia {

/** The planner's input for one engine. `busy`: it is loading, or an order to it may still be in
    flight. */
struct EnginePlanView {
  BackendServerName server;
  std::optional<LoadedRange> loaded;
  std::optional<LoadedRange> desired;
  bool ready = false;
  bool busy = false;
  bool may_order = false;
};

/** The loads to order now, most urgent first, and the servers that are blocked because they hold
   the last ready replica of a stage. */
struct LoadPlan {
  std::vector<BackendServerName> loads;
  std::vector<BackendServerName> blocked;
};

/** Chooses which engines load next, so that at most `most_loads` use the rate-limited weight store
    at once.

    Priority: first the loads for models without a complete pipeline that add missing layers, those
   of the model with the fewest missing layers first; then additional replicas, small ranges first.
    Limiting the concurrent loads makes the first model available sooner than sharing the weight
    store among all.

    A server gets no order while loading would remove the last complete pipeline of its model, or
   the last ready replica of a stage in the model's configured version. An in-place upgrade
   therefore needs a spare replica of each stage.
*/
LoadPlan PlanLoads(std::vector<EnginePlanView> engines,
                   const std::map<ModelName, Model>& models,
                   std::size_t most_loads);

}  // namespace zinnia
