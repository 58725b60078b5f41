#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "zinnia_base/random/random_source.h"
#include "zinnia_decisions/routing/load_order.h"
#include "zinnia_decisions/routing/pipeline_planner.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

std::vector<PlannerServer> MakeServers(std::size_t count, std::uint64_t seed) {
  constexpr double kRates[] = {1'000.0, 620.0, 400.0};
  constexpr std::uint32_t kMemory[] = {32, 24, 20};
  RandomSource random(seed);
  std::vector<PlannerServer> servers;
  for (std::size_t number = 0; number < count; ++number) {
    const std::size_t kind = RandomBelow(random, 3);
    servers.push_back({"server-" + std::to_string(number), "domain-" + std::to_string(number % 3),
                       kRates[kind], kMemory[kind]});
  }
  return servers;
}

std::vector<PlannerModel> MakeModels() {
  std::vector<double> unequal(48, 1.0);
  std::fill(unequal.begin(), unequal.begin() + 8, 1.5);
  return {{"assistant", "v1", unequal, 0.7, 1e9},
          {"drafting", "v2", std::vector<double>(24, 1.0), 0.3, 1e9}};
}

}  // namespace

TEST_GROUP(PipelinePlannerTest){};

// Guards against a stage whose servers are all in one failure domain.
TEST(PipelinePlannerTest, TheLossOfAnyDomainLeavesEveryModelServed) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const auto servers = MakeServers(30, seed);
    const auto plan = PipelinePlanner::Plan(servers, MakeModels());
    CHECK_TRUE(plan.has_value());
    std::map<BackendServerName, FailureDomainName> domains;
    for (const PlannerServer& server : servers) {
      domains[server.name] = server.failure_domain;
    }
    for (const Pipeline& pipeline : plan->pipelines) {
      for (const PipelineStage& stage : pipeline.stages) {
        std::set<FailureDomainName> stage_domains;
        for (const BackendServerName& replica : stage.replicas) {
          stage_domains.insert(domains.at(replica));
        }
        CHECK_TRUE(stage_domains.size() >= 2);
      }
    }
  }
}

TEST(PipelinePlannerTest, CoversEveryLayerOnceWithinMemoryAndNearTheBound) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const auto servers = MakeServers(30, seed);
    const auto models = MakeModels();
    const auto plan = PipelinePlanner::Plan(servers, models);
    CHECK_TRUE(plan.has_value());
    std::size_t placed = 0;
    for (std::size_t model = 0; model < models.size(); ++model) {
      std::uint32_t next = 0;
      for (const PipelineStage& stage : plan->pipelines[model].stages) {
        LONGS_EQUAL(next, stage.layers.first);
        CHECK_TRUE(stage.layers.Count() <= 32);
        next = stage.layers.end;
        placed += stage.replicas.size();
      }
      LONGS_EQUAL(models[model].layer_costs.size(), next);
    }
    LONGS_EQUAL(servers.size(), placed);
    CHECK_TRUE(plan->token_rate > 0.8 * plan->token_rate_bound);
    CHECK_TRUE(plan->token_rate <= 1.0001 * plan->token_rate_bound);
  }
}

TEST(PipelinePlannerTest, ErrorNamesTheModelThatCannotSurviveTheLossOfADomain) {
  auto servers = MakeServers(30, 1);
  for (PlannerServer& server : servers) {
    server.failure_domain = "only";
  }
  const auto plan = PipelinePlanner::Plan(servers, MakeModels());
  CHECK_TRUE(plan.error().kind == ErrorKind::kInvalidRequest);
  STRCMP_CONTAINS("assistant", plan.error().message.c_str());
}

// Guards against a rollout over a slow weight store that leaves every model incomplete for long.
TEST(PipelinePlannerTest, LoadsCompleteOneModelBeforeTheNextBegins) {
  const auto servers = MakeServers(30, 1);
  const auto models = MakeModels();
  const auto plan = PipelinePlanner::Plan(servers, models);
  std::size_t stages_of_first = 0;
  while (plan->loads[stages_of_first].target.model == "drafting") {
    ++stages_of_first;
  }
  LONGS_EQUAL(plan->pipelines[1].stages.size(), stages_of_first);
  LONGS_EQUAL(servers.size(), plan->loads.size());
}

TEST(PipelinePlannerTest, PlansNoLoadForRangesAlreadyLoaded) {
  auto servers = MakeServers(30, 1);
  const auto models = MakeModels();
  const auto plan = PipelinePlanner::Plan(servers, models);
  for (const PlannedLoad& load : plan->loads) {
    std::ranges::find(servers, load.server, &PlannerServer::name)->loaded = load.target;
  }
  LONGS_EQUAL(0, OrderLoads(servers, models, plan->pipelines).size());
}

}  // namespace zinnia
