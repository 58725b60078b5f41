#include "zinnia_decisions/routing/pipeline_planner.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <set>
#include <utility>

#include "zinnia_decisions/routing/load_order.h"

namespace zinnia {
namespace {

using Servers = std::vector<const PlannerServer*>;

/** Factor by which a further stage must raise the rate, since each adds latency to every token. */
constexpr double kMinGainPerStage = 1.03;
constexpr std::size_t kMinDomainsPerStage = 2;
constexpr std::size_t kMaxStages = 16;

constexpr int kMaxAllocationRounds = 12;
constexpr double kDemandGrowth = 1.25;

struct Stage {
  Servers servers;
  double rate = 0.0;
  std::uint32_t max_layers = std::numeric_limits<std::uint32_t>::max();
  std::set<FailureDomainName> domains;
  LayerRange layers;

  void Add(const PlannerServer& server) {
    servers.push_back(&server);
    rate += server.rate;
    max_layers = std::min(max_layers, server.memory_layers);
    domains.insert(server.failure_domain);
  }
};

struct ModelPlan {
  std::vector<Stage> stages;
  double rate = 0.0;
};

double TotalCost(const PlannerModel& model) {
  return std::accumulate(model.layer_costs.begin(), model.layer_costs.end(), 0.0);
}

double TotalRate(const std::vector<PlannerServer>& servers) {
  double rate = 0.0;
  for (const PlannerServer& server : servers) {
    rate += server.rate;
  }
  return rate;
}

/** Sorts by descending rate. Servers of equal rate keep their order. */
Servers SortedByRate(const Servers& servers) {
  Servers sorted = servers;
  std::ranges::stable_sort(sorted, std::greater{},
                           [](const PlannerServer* server) { return server->rate; });
  return sorted;
}

/** The servers allocated to one model. */
struct ModelAllocation {
  Servers servers;
  double demand = 1.0;
  double rate = 0.0;
  std::map<FailureDomainName, double> domain_rates;

  void Allocate(const PlannerServer& server) {
    servers.push_back(&server);
    rate += server.rate;
    domain_rates[server.failure_domain] += server.rate;
  }
};

/** Allocates servers to models. Each goes to the model with the lowest rate relative to its demand,
    which gets the fastest server of the failure domain where its rate is lowest. */
std::vector<Servers> AllocateServers(const std::vector<PlannerServer>& servers,
                                     const std::vector<double>& demands) {
  std::vector<ModelAllocation> allocations;
  allocations.reserve(demands.size());
  for (const double demand : demands) {
    allocations.push_back({.demand = demand});
  }
  Servers unallocated;
  unallocated.reserve(servers.size());
  for (const PlannerServer& server : servers) {
    unallocated.push_back(&server);
  }
  unallocated = SortedByRate(unallocated);
  while (!unallocated.empty()) {
    ModelAllocation& next_model = *std::ranges::min_element(
        allocations, {}, [](const ModelAllocation& share) { return share.rate / share.demand; });
    const auto next = std::ranges::min_element(unallocated, {}, [&](const PlannerServer* server) {
      return std::pair(next_model.domain_rates[server->failure_domain], -server->rate);
    });
    next_model.Allocate(**next);
    unallocated.erase(next);
  }
  std::vector<Servers> result;
  result.reserve(allocations.size());
  for (ModelAllocation& share : allocations) {
    result.push_back(std::move(share.servers));
  }
  return result;
}

/** Assigns each server to a stage that lacks its failure domain, else to the slowest stage. */
std::vector<Stage> AssignToStages(const Servers& servers, std::size_t count) {
  std::vector<Stage> stages(count);
  for (const PlannerServer* server : SortedByRate(servers)) {
    const auto target_stage = std::ranges::min_element(stages, {}, [server](const Stage& stage) {
      const bool lacks_domains = stage.domains.size() < kMinDomainsPerStage &&
                                 !stage.domains.contains(server->failure_domain);
      return std::pair(lacks_domains ? 0 : 1, stage.rate);
    });
    target_stage->Add(*server);
  }
  return stages;
}

/** Partitions the layers in proportion to the stages' rates, within memory. Returns false if they
    do not fit. */
bool PartitionLayers(const PlannerModel& model, std::vector<Stage>& stages) {
  const auto layers = static_cast<std::uint32_t>(model.layer_costs.size());
  std::uint32_t first = 0;
  double cost_left = TotalCost(model);
  double rate_left = 0.0;
  std::uint32_t layer_capacity_left = 0;
  for (const Stage& stage : stages) {
    rate_left += stage.rate;
    layer_capacity_left += stage.max_layers;
  }
  for (Stage& stage : stages) {
    layer_capacity_left -= stage.max_layers;
    const double target_cost = cost_left * stage.rate / rate_left;
    double cost = 0.0;
    std::uint32_t end = first;
    while (end < layers && end - first < stage.max_layers) {
      const bool required = layers - end > layer_capacity_left;
      const bool closer_to_target = cost + model.layer_costs[end] / 2.0 <= target_cost;
      if (!required && !closer_to_target) {
        break;
      }
      cost += model.layer_costs[end++];
    }
    stage.layers = {first, end};
    cost_left -= cost;
    rate_left -= stage.rate;
    if (end == first) {
      return false;
    }
    first = end;
  }
  return first == layers;
}

double BottleneckTokenRate(const PlannerModel& model, const std::vector<Stage>& stages) {
  double rate = std::numeric_limits<double>::infinity();
  for (const Stage& stage : stages) {
    const auto begin = model.layer_costs.begin() + stage.layers.first;
    const double cost = std::accumulate(begin, begin + stage.layers.Count(), 0.0);
    rate = std::min(rate, stage.rate / cost);
  }
  return rate;
}

ModelPlan PlanModel(const PlannerModel& model, const Servers& servers) {
  ModelPlan best;
  const std::size_t max_count = std::min(kMaxStages, servers.size() / kMinDomainsPerStage);
  for (std::size_t count = 1; count <= max_count; ++count) {
    std::vector<Stage> stages = AssignToStages(servers, count);
    const bool spans_domains = std::ranges::all_of(
        stages, [](const Stage& stage) { return stage.domains.size() >= kMinDomainsPerStage; });
    if (!spans_domains || !PartitionLayers(model, stages)) {
      continue;
    }
    const double rate = BottleneckTokenRate(model, stages);
    if (rate > best.rate * kMinGainPerStage) {
      best = {std::move(stages), rate};
    }
  }
  return best;
}

Pipeline MakePipeline(const PlannerModel& model, const ModelPlan& plan) {
  Pipeline pipeline{model.name, model.name, model.version};
  for (const Stage& stage : plan.stages) {
    PipelineStage planned_stage{.layers = stage.layers};
    for (const PlannerServer* server : stage.servers) {
      planned_stage.replicas.push_back(server->name);
    }
    pipeline.stages.push_back(std::move(planned_stage));
  }
  return pipeline;
}

std::vector<ModelPlan> PlanModels(const std::vector<PlannerModel>& models,
                                  const std::vector<Servers>& allocations) {
  std::vector<ModelPlan> plans;
  plans.reserve(models.size());
  for (std::size_t model = 0; model < models.size(); ++model) {
    plans.push_back(PlanModel(models[model], allocations[model]));
  }
  return plans;
}

PipelinePlan MakePipelinePlan(const std::vector<PlannerServer>& servers,
                              const std::vector<PlannerModel>& models,
                              const std::vector<ModelPlan>& plans) {
  PipelinePlan formation{.token_rate = std::numeric_limits<double>::infinity()};
  double mean_token_cost = 0.0;
  for (std::size_t model = 0; model < models.size(); ++model) {
    const double share = models[model].demand_share;
    formation.token_rate = std::min(formation.token_rate, plans[model].rate / share);
    mean_token_cost += share * TotalCost(models[model]);
    formation.pipelines.push_back(MakePipeline(models[model], plans[model]));
  }
  formation.token_rate_bound = TotalRate(servers) / mean_token_cost;
  formation.loads = OrderLoads(servers, models, formation.pipelines);
  return formation;
}

}  // namespace

Result<PipelinePlan> PipelinePlanner::Plan(const std::vector<PlannerServer>& servers,
                                           const std::vector<PlannerModel>& models) {
  std::vector<double> demands;
  demands.reserve(models.size());
  for (const PlannerModel& model : models) {
    demands.push_back(model.demand_share * TotalCost(model));
  }
  std::size_t unserved = 0;
  for (int round = 0; round < kMaxAllocationRounds; ++round) {
    const std::vector<ModelPlan> plans = PlanModels(models, AllocateServers(servers, demands));
    const auto failed = std::ranges::find_if(
        plans, [](const ModelPlan& planned) { return planned.stages.empty(); });
    if (failed == plans.end()) {
      return MakePipelinePlan(servers, models, plans);
    }
    // By demand alone, a small model can get too few failure domains or too little memory.
    unserved = static_cast<std::size_t>(failed - plans.begin());
    demands[unserved] *= kDemandGrowth;
  }
  return MakeError(
      ErrorKind::kInvalidRequest,
      fmt::format("model \"{}\" does not fit on the backend servers in such a way that "
                  "the loss of a failure domain leaves it served",
                  models[unserved].name));
}

}  // namespace zinnia
