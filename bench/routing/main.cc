/** Measures the choice of routes: throughput against the bound and latency, for each policy at
    each load, then for the chosen policy at each lag of the load reports, then the cost of a
   choice. Virtual time and fixed seeds: the figures are the same at every run, but for the cost. */

#include <fmt/format.h>

#include <algorithm>
#include <future>
#include <string>

#include "bench/routing/choice_cost.h"
#include "bench/routing/flow_meter.h"
#include "bench/routing/forming.h"
#include "bench/support/flow_bound.h"
#include "zinnia_decisions/routing/completion_chooser.h"
#include "zinnia_decisions/routing/least_loaded_chooser.h"
#include "zinnia_decisions/routing/round_robin_chooser.h"
#include "zinnia_decisions/routing/shortest_completion_chooser.h"

namespace zinnia::bench {
namespace {

constexpr std::uint64_t kSeed = 7;
constexpr TimePoint kBegin{std::chrono::seconds(8)};
constexpr TimePoint kEnd{std::chrono::seconds(28)};
constexpr std::size_t kRunsAtOnce = 4;

struct Policy {
  std::string name;
  ChooserFactory factory;
};

template <typename Chooser>
Policy Baseline(std::string name) {
  return {std::move(name),
          [](const Clock& clock, std::uint64_t) -> std::unique_ptr<PipelineChooser> {
            return std::make_unique<Chooser>(clock);
          }};
}

Policy Chosen() {
  return {"chosen", [](const Clock& clock, std::uint64_t seed) -> std::unique_ptr<PipelineChooser> {
            return std::make_unique<CompletionChooser>(clock, RandomSource(seed));
          }};
}

struct Run {
  std::string name;
  ChooserFactory factory;
  double load = 0.0;
  Duration lag = std::chrono::seconds(1);
  double capacity_seconds = SimulationSettings{}.capacity_seconds;
};

/** The common ground of all runs. */
struct Ground {
  FleetPlan plan = MakeThirtyWorkers();
  double bound = 0.0;

  Ground() {
    plan.demand = Workload::DemandOf({}, {{"assistant", 0.7}, {"drafting", 0.3}});
    bound = RequestsPerSecondBound(plan);
  }
};

std::string Measure(const Ground& ground, const Run& run) {
  FlowMeter meter(kBegin, kEnd);
  SimulationSettings settings;
  settings.make_chooser = run.factory;
  settings.load_lag = run.lag;
  settings.capacity_seconds = run.capacity_seconds;
  settings.seed = kSeed;
  Simulation simulation(ground.plan, settings, meter);
  meter.SetClock(simulation.Time());
  Workload workload({}, kSeed);
  double offered = 0.0;
  for (const OfferedRequest& request :
       workload.DrawArrivals(ground.plan.demand, run.load * ground.bound, {}, kEnd)) {
    simulation.Offer(request);
    offered += request.arrival >= kBegin ? request.answer_tokens : 0.0;
  }
  simulation.Time().RunUntil(kEnd);
  const double seconds = std::chrono::duration<double>(kEnd - kBegin).count();
  const double carried = CarriedRequestsPerSecond(ground.plan, run.load * ground.bound);
  const double bound_tokens = carried * ground.plan.demand.begin()->second.answer_tokens;
  const double due = std::min(offered / seconds, bound_tokens);
  return fmt::format(
      "{0}_bound_ratio={1:.4f}\n{0}_first_token_p95_ms={2:.1f}\n"
      "{0}_between_tokens_p95_ms={3:.1f}\n{0}_in_time_percent={4:.1f}\n"
      "{0}_goodput_in_time_ratio={5:.4f}\n{0}_refused_percent={6:.1f}\n",
      run.name, meter.TokensPerSecond() / due, meter.FirstTokenP95Milliseconds(),
      meter.BetweenTokensP95Milliseconds(), meter.InTimePercent(),
      meter.TokensPerSecondInTime() / due, meter.RefusedPercent());
}

std::vector<Run> AllRuns() {
  std::vector<Run> runs;
  for (const Policy& policy : {Chosen(), Baseline<RoundRobinChooser>("round_robin"),
                               Baseline<LeastLoadedChooser>("least_loaded"),
                               Baseline<ShortestCompletionChooser>("shortest_completion")}) {
    for (const int load : {50, 80, 95, 120}) {
      runs.push_back({fmt::format("{}_{}", policy.name, load), policy.factory, load / 100.0});
    }
  }
  for (const auto& [lag, name] :
       std::map<int, std::string>{{100, "0_1s"}, {1'000, "1s"}, {5'000, "5s"}}) {
    for (const int load : {80, 95}) {
      runs.push_back({fmt::format("chosen_lag_{}_{}", name, load), Chosen().factory, load / 100.0,
                      std::chrono::milliseconds(lag)});
    }
  }
  for (const int milliseconds : {20, 24, 26, 28, 30, 35, 40, 50}) {
    for (const int load : {95, 120}) {
      runs.push_back({fmt::format("capacity_{}ms_{}", milliseconds, load), Chosen().factory,
                      load / 100.0, std::chrono::seconds(1), milliseconds / 1'000.0});
    }
  }
  return runs;
}

/** Runs whose name begins with `prefix`; the costs only without one. */
void RunAll(const std::string& prefix) {
  const Ground ground;
  fmt::print("bound_requests_per_second={:.2f}\nbound_tokens_per_second={:.0f}\n", ground.bound,
             ground.bound * ground.plan.demand.begin()->second.answer_tokens);
  std::vector<Run> runs = AllRuns();
  std::erase_if(runs, [&](const Run& run) { return !run.name.starts_with(prefix); });
  for (std::size_t first = 0; first < runs.size(); first += kRunsAtOnce) {
    std::vector<std::future<std::string>> results;
    for (std::size_t run = first; run < std::min(runs.size(), first + kRunsAtOnce); ++run) {
      results.push_back(std::async(std::launch::async,
                                   [&ground, &runs, run] { return Measure(ground, runs[run]); }));
    }
    for (std::future<std::string>& result : results) {
      fmt::print("{}", result.get());
    }
  }
  if (prefix.empty()) {
    PrintChoiceCost();
    PrintFormingFigures();
  }
}

}  // namespace
}  // namespace zinnia::bench

int main(int count, char** arguments) {
  zinnia::bench::RunAll(count > 1 ? arguments[1] : "");
  return 0;
}
