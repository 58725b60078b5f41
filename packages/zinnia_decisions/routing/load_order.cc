#include "zinnia_decisions/routing/load_order.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace zinnia {
namespace {

/** Outstanding loads of one stage, and the failure domains that already hold it. */
struct StageProgress {
  LoadedRange range;
  double bytes_per_load = 0.0;
  std::vector<const PlannerServer*> missing;
  std::size_t holders = 0;
  std::set<FailureDomainName> holder_domains;

  void ScheduleNextLoad(std::vector<PlannedLoad>& loads) {
    const auto new_domain = std::ranges::find_if(missing, [this](const PlannerServer* server) {
      return !holder_domains.contains(server->failure_domain);
    });
    const auto next = new_domain == missing.end() ? missing.begin() : new_domain;
    loads.push_back({(*next)->name, range, bytes_per_load});
    holder_domains.insert((*next)->failure_domain);
    ++holders;
    missing.erase(next);
  }
};

struct ModelProgress {
  std::vector<StageProgress> stages;

  bool Done() const {
    return std::ranges::all_of(stages, [](const auto& stage) { return stage.missing.empty(); });
  }

  /** Number of complete copies, over the stages with outstanding loads. */
  std::size_t CompleteCopies() const {
    std::size_t copies = SIZE_MAX;
    for (const StageProgress& stage : stages) {
      if (!stage.missing.empty()) {
        copies = std::min(copies, stage.holders);
      }
    }
    return copies;
  }

  double BytesToNextCopy() const {
    double bytes = 0.0;
    for (const StageProgress& stage : stages) {
      const bool needed = !stage.missing.empty() && stage.holders == CompleteCopies();
      bytes += needed ? stage.bytes_per_load : 0.0;
    }
    return bytes;
  }

  void ScheduleNextCopy(std::vector<PlannedLoad>& loads) {
    const std::size_t copies = CompleteCopies();
    for (StageProgress& stage : stages) {
      if (!stage.missing.empty() && stage.holders == copies) {
        stage.ScheduleNextLoad(loads);
      }
    }
  }
};

ModelProgress ProgressOf(const std::map<BackendServerName, const PlannerServer*>& servers,
                         const PlannerModel& model,
                         const Pipeline& pipeline) {
  ModelProgress progress;
  for (const PipelineStage& stage : pipeline.stages) {
    StageProgress stage_progress{.range = {model.name, model.version, stage.layers},
                                 .bytes_per_load = model.bytes_per_layer * stage.layers.Count()};
    for (const BackendServerName& name : stage.replicas) {
      const PlannerServer& server = *servers.at(name);
      if (server.loaded == stage_progress.range) {
        ++stage_progress.holders;
        stage_progress.holder_domains.insert(server.failure_domain);
      } else {
        stage_progress.missing.push_back(&server);
      }
    }
    progress.stages.push_back(std::move(stage_progress));
  }
  return progress;
}

}  // namespace

std::vector<PlannedLoad> OrderLoads(const std::vector<PlannerServer>& servers,
                                    const std::vector<PlannerModel>& models,
                                    const std::vector<Pipeline>& pipelines) {
  std::map<BackendServerName, const PlannerServer*> by_name;
  for (const PlannerServer& server : servers) {
    by_name[server.name] = &server;
  }
  std::vector<ModelProgress> all;
  for (std::size_t model = 0; model < models.size(); ++model) {
    all.push_back(ProgressOf(by_name, models[model], pipelines[model]));
  }
  std::vector<PlannedLoad> loads;
  while (true) {
    std::erase_if(all, [](const ModelProgress& progress) { return progress.Done(); });
    if (all.empty()) {
      return loads;
    }
    const auto next = std::ranges::min_element(all, {}, [](const ModelProgress& progress) {
      return std::pair(progress.CompleteCopies(), progress.BytesToNextCopy());
    });
    next->ScheduleNextCopy(loads);
  }
}

}  // namespace zinnia
