#include "bench/routing/forming.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "zinnia_base/random/random_source.h"
#include "zinnia_decisions/routing/pipeline_planner.h"

namespace zinnia::bench {
namespace {

std::vector<PlannerServer> MakeServers(std::size_t count, std::uint64_t seed) {
  constexpr double kRates[] = {1'000.0, 625.0, 400.0};
  constexpr std::uint32_t kMemory[] = {32, 24, 20};
  RandomSource random(seed);
  std::vector<PlannerServer> servers;
  servers.reserve(count);
  for (std::size_t number = 0; number < count; ++number) {
    const std::size_t kind = RandomBelow(random, 3);
    servers.push_back({fmt::format("server-{}", number), fmt::format("domain-{}", number % 3),
                       kRates[kind], kMemory[kind]});
  }
  return servers;
}

std::vector<PlannerModel> MakeModels() {
  return {{"assistant", "v1", std::vector<double>(48, 1.0), 0.7, 1e9},
          {"drafting", "v1", std::vector<double>(24, 1.0), 0.3, 1e9}};
}

void PrintGap() {
  constexpr std::uint64_t kFleets = 100;
  double sum = 0.0;
  double worst = 1.0;
  for (std::uint64_t seed = 1; seed <= kFleets; ++seed) {
    const auto plan = PipelinePlanner::Plan(MakeServers(30, seed), MakeModels());
    const double ratio = plan ? plan->token_rate / plan->token_rate_bound : 0.0;
    sum += ratio;
    worst = std::min(worst, ratio);
  }
  fmt::print("former_mean_bound_ratio={:.4f}\nformer_worst_bound_ratio={:.4f}\n",
             sum / static_cast<double>(kFleets), worst);
}

}  // namespace

void PrintFormingFigures() {
  PrintGap();
  for (const std::size_t count : {30, 300, 1'200}) {
    const auto servers = MakeServers(count, 1);
    const auto begin = std::chrono::steady_clock::now();
    const auto plan = PipelinePlanner::Plan(servers, MakeModels());
    const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - begin;
    fmt::print("former_{}_servers_ms={:.2f}\nformer_{}_servers_bound_ratio={:.4f}\n", count,
               took.count(), count, plan ? plan->token_rate / plan->token_rate_bound : 0.0);
  }
}

}  // namespace zinnia::bench
