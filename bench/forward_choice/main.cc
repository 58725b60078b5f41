// How long one choice of a path takes, by the number of engines of the pool, in microseconds of one
// core: find_us_N for a new request, recover_us_N for a stream of a lost server, plan_us_N for a
// plan of the whole pool. Engines stand in five failure domains, of three kinds of accelerators.

#include <fmt/format.h>

#include <chrono>
#include <string>
#include <vector>

#include "zinnia_base/time/virtual_time.h"
#include "zinnia_decisions/forwarding/limits/rendezvous_limit_division.h"
#include "zinnia_decisions/forwarding/limits/server_limits.h"
#include "zinnia_decisions/forwarding/observed_state/observed_state.h"
#include "zinnia_decisions/forwarding/paths/paths.h"
#include "zinnia_decisions/forwarding/placement/layer_planner.h"

namespace zinnia {
namespace {

constexpr int kDomains = 5;
constexpr int kRounds = 300;

struct NoConnections final : IdleConnections {
  bool HasIdle(const BackendServerName&) const override { return false; }
};

EngineProfile Engine() {
  EngineProfile engine;
  engine.layers = 80;
  engine.layer_mb = 1'750;
  engine.cache_bytes_per_token = 754'000;
  engine.step_ms = 1.02;
  engine.step_ms_per_request = 0.00586;
  engine.step_ms_per_thousand_tokens = 0.00785;
  engine.read_tokens_per_second = 128'000;
  engine.activation_bytes_per_token = 37'700;
  engine.failure_domain_link_mbps = 18'000;
  engine.usual_answer_tokens = 200;
  engine.accelerators["fast"] = {72'000, 2.4, 3.2};
  engine.accelerators["middle"] = {43'200, 5.6, 2.7};
  engine.accelerators["slow"] = {21'600, 16, 8.2};
  return engine;
}

ServerEntry Server(int number) {
  ServerEntry server;
  server.name = fmt::format("i-{:010x}@0", number * 7'919);
  server.service = "pool";
  server.address = {"10.0.0.1", static_cast<std::uint16_t>(number + 1)};
  server.failure_domain = fmt::format("domain{}", number % kDomains);
  server.most_requests = 192;
  const int kind = number / kDomains % 10;
  server.accelerator = kind == 0 ? "fast" : (kind < 4 ? "middle" : "slow");
  return server;
}

template <typename Call>
double MicrosecondsOf(Call call) {
  const auto begin = std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    call();
  }
  const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - begin;
  return taken.count() / kRounds;
}

void Measure(int engines) {
  VirtualTime time;
  LoadTracker loads(time);
  ServerHealth health(time);
  const RendezvousLimitDivision division;
  const ServerLimits limits(time, division, "self");
  InterDomainLinkMeter link_meter(time);
  RandomSource random(1);
  const NoConnections connections;
  const PathFinder paths(loads, health, limits, link_meter, connections, random);
  RecoveryChooser recovery(time, paths, loads, health);
  std::vector<ServerEntry> servers;
  servers.reserve(engines);
  for (int number = 0; number < engines; ++number) {
    servers.push_back(Server(number));
  }
  const double plan = MicrosecondsOf([&] { LayerPlanner::PlanPool(Engine(), servers); });
  const auto ranges = LayerPlanner::PlanPool(Engine(), servers);
  auto rules = std::make_shared<ForwardingRules>();
  rules->services["pool"].engine = Engine();
  ForwardingView view;
  view.rules = rules;
  LoadTracker::Uses uses;
  for (ServerEntry& server : servers) {
    const auto range = ranges.find(server.name);
    server.layers = range == ranges.end() ? LayerRange() : range->second;
    view.servers[server.name] = server;
    uses[server.name] = {20, 1'000.0, 3};
    health.OnOutcome(server.name, true);
  }
  for (int domain = 0; domain < kDomains; ++domain) {
    loads.SetDomainUses(fmt::format("domain{}", domain), uses);
  }
  const GenerationSize size{774, 200};
  const double find = MicrosecondsOf([&] { (void)paths.Find(view, "pool", size, "domain0", {}); });
  const auto present = paths.Find(view, "pool", size, "domain0", {});
  const double recover = MicrosecondsOf([&] {
    (void)recovery.Choose(view, "pool", size, present ? present->path : LayerPath(), {}, true);
  });
  fmt::print("plan_us_{0}={1:.0f}\nfind_us_{0}={2:.0f}\nrecover_us_{0}={3:.0f}\n", engines, plan,
             find, recover);
}

}  // namespace
}  // namespace zinnia

int main() {
  for (const int engines : {30, 90, 190, 600}) {
    zinnia::Measure(engines);
  }
}
