#include "zinnia_decisions/orders/load_planner.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace zinnia {
namespace {

using Engines = std::vector<EnginePlanView>;

/** Layers of the model that no ready engine holds in that version. */
std::uint32_t MissingLayers(const Engines& engines,
                            const Model& model,
                            const std::string& version) {
  std::vector<bool> held(model.layers, false);
  for (const EnginePlanView& engine : engines) {
    const bool counts = engine.ready && !engine.busy && engine.loaded &&
                        engine.loaded->model == model.name && engine.loaded->version == version;
    if (counts) {
      const std::uint32_t end = std::min(engine.loaded->layers.end, model.layers);
      for (std::uint32_t layer = engine.loaded->layers.first; layer < end; ++layer) {
        held[layer] = true;
      }
    }
  }
  return static_cast<std::uint32_t>(std::count(held.begin(), held.end(), false));
}

bool HasCompletePipeline(const Engines& engines, const Model& model) {
  std::set<std::string> versions;
  for (const EnginePlanView& engine : engines) {
    if (engine.loaded && engine.loaded->model == model.name) {
      versions.insert(engine.loaded->version);
    }
  }
  return std::any_of(versions.begin(), versions.end(), [&](const std::string& version) {
    return MissingLayers(engines, model, version) == 0;
  });
}

/** Whether another ready engine holds exactly what this one holds. */
bool HasReadyReplica(const Engines& engines, const EnginePlanView& engine) {
  return std::any_of(engines.begin(), engines.end(), [&](const EnginePlanView& other) {
    return other.server != engine.server && other.ready && !other.busy &&
           other.loaded == engine.loaded;
  });
}

Engines Without(const Engines& engines, const BackendServerName& server) {
  Engines rest = engines;
  std::erase_if(rest, [&](const EnginePlanView& engine) { return engine.server == server; });
  return rest;
}

bool CarriesLastReplica(const Engines& engines,
                        const std::map<ModelName, Model>& models,
                        const EnginePlanView& engine) {
  const auto model = engine.loaded ? models.find(engine.loaded->model) : models.end();
  if (model == models.end() || !engine.ready) {
    return false;
  }
  if (HasReadyReplica(engines, engine)) {
    return false;
  }
  const bool breaks_last = HasCompletePipeline(engines, model->second) &&
                           !HasCompletePipeline(Without(engines, engine.server), model->second);
  return breaks_last || engine.loaded->version == model->second.version;
}

/** Smaller sorts first. */
using Urgency = std::tuple<bool, bool, std::uint32_t, std::uint32_t, BackendServerName>;

Urgency UrgencyOf(const Engines& engines,
                  const std::map<ModelName, Model>& models,
                  const EnginePlanView& engine) {
  const LoadedRange& desired = *engine.desired;
  const auto found = models.find(desired.model);
  if (found == models.end()) {
    return {true, true, desired.layers.Count(), desired.layers.Count(), engine.server};
  }
  const std::uint32_t missing = MissingLayers(engines, found->second, desired.version);
  Engines with = engines;
  for (EnginePlanView& other : with) {
    if (other.server == engine.server) {
      other.loaded = desired;
      other.ready = true;
    }
  }
  const bool adds_layers = MissingLayers(with, found->second, desired.version) < missing;
  return {HasCompletePipeline(engines, found->second), !adds_layers, missing,
          desired.layers.Count(), engine.server};
}

}  // namespace

LoadPlan PlanLoads(std::vector<EnginePlanView> engines,
                   const std::map<ModelName, Model>& models,
                   std::size_t most_loads) {
  std::vector<std::pair<Urgency, EnginePlanView*>> wanted;
  std::size_t loading = 0;
  for (EnginePlanView& engine : engines) {
    loading += engine.busy ? 1 : 0;
    if (engine.may_order && !engine.busy && engine.desired && engine.loaded != engine.desired) {
      wanted.emplace_back(UrgencyOf(engines, models, engine), &engine);
    }
  }
  std::sort(wanted.begin(), wanted.end());
  LoadPlan plan;
  for (const auto& [urgency, engine] : wanted) {
    if (CarriesLastReplica(engines, models, *engine)) {
      plan.blocked.push_back(engine->server);
    } else if (loading < most_loads) {
      plan.loads.push_back(engine->server);
      engine->busy = true;
      loading += 1;
    }
  }
  return plan;
}

}  // namespace zinnia
