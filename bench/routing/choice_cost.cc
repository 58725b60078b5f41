#include "bench/routing/choice_cost.h"

#include <fmt/format.h>

#include <chrono>

#include "bench/support/simulation_time.h"
#include "zinnia_decisions/routing/completion_chooser.h"

namespace zinnia::bench {
namespace {

constexpr std::size_t kStages = 3;
constexpr std::size_t kReplicas = 10;

FleetSnapshot MakeFleet(std::size_t servers) {
  FleetSnapshot fleet;
  fleet.sequence = 1;
  fleet.own_failure_domain = "domain-0";
  for (std::size_t pipeline = 0; pipeline < servers / (kStages * kReplicas); ++pipeline) {
    Pipeline added{fmt::format("pipeline-{}", pipeline), "model", "v1"};
    for (std::uint32_t stage = 0; stage < kStages; ++stage) {
      PipelineStage planned{.layers = {stage * 16, stage * 16 + 16}};
      for (std::size_t replica = 0; replica < kReplicas; ++replica) {
        ServerView view;
        view.server.name = fmt::format("server-{}-{}-{}", pipeline, stage, replica);
        view.server.failure_domain = fmt::format("domain-{}", replica % 3);
        view.server.loaded = LoadedRange{"model", "v1", planned.layers};
        planned.replicas.push_back(view.server.name);
        fleet.servers[view.server.name] = view;
      }
      added.stages.push_back(planned);
    }
    fleet.pipelines.push_back(added);
  }
  return fleet;
}

double MicrosecondsPerChoice(std::size_t servers, bool new_snapshots) {
  SimulationTime time;
  CompletionChooser chooser(time, RandomSource(1));
  FleetSnapshot fleet = MakeFleet(servers);
  const int choices = new_snapshots ? 200 : 20'000;
  const auto begin = std::chrono::steady_clock::now();
  for (int choice = 0; choice < choices; ++choice) {
    RouteQuery query{.model = "model", .prompt_tokens = 100, .answer_tokens = 100};
    query.prefix_hash = 1 + static_cast<std::uint64_t>(choice % 50);
    fleet.sequence += new_snapshots ? 1 : 0;
    const auto chosen = chooser.Choose(fleet, query);
    chooser.OnSent(chosen->route, query);
    chooser.OnFinished(chosen->route, query);
  }
  const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
  return took.count() / choices;
}

}  // namespace

void PrintChoiceCost() {
  for (const std::size_t servers : {30, 600}) {
    fmt::print("choice_with_{}_servers_us={:.2f}\nchoice_and_index_with_{}_servers_us={:.1f}\n",
               servers, MicrosecondsPerChoice(servers, false), servers,
               MicrosecondsPerChoice(servers, true));
  }
}

}  // namespace zinnia::bench
