/** Measures overload and failures: credit against the best possible, fairness between ten
    organisations, refusals and misses, recovery from a retry storm. Virtual time, fixed seeds. */

#include <fmt/format.h>

#include <future>

#include "bench/overload/scenario.h"
#include "bench/support/flow_bound.h"

namespace zinnia::bench {
namespace {

constexpr std::size_t kRunsAtOnce = 4;
constexpr double kLoadInStorm = 0.6;
constexpr double kLoadUnderFailure = 0.8;
constexpr Duration kFailureAt = std::chrono::seconds(12);
constexpr Duration kFailureFor = std::chrono::seconds(15);
constexpr Duration kDowntime = std::chrono::seconds(10);
const FailureDomainName kLostDomain = "msasani";

std::vector<Tenant> TenTenants(double offered_in_shares) {
  std::vector<Tenant> tenants;
  tenants.reserve(10);
  for (int number = 0; number < 10; ++number) {
    tenants.push_back(
        {fmt::format("organisation-{}", number), number < 3 ? 4.0 : 1.0, offered_in_shares});
  }
  return tenants;
}

Scenario Flood() {
  Scenario scenario{"flood", TenTenants(0.8)};
  scenario.tenants.back().offered_in_shares = 40.0;
  return scenario;
}

bool IsDuringFailure(Duration at) {
  return at >= kFailureAt && at < kFailureAt + kFailureFor;
}

std::set<BackendServerName> ServersIn(const FleetPlan& plan, const FailureDomainName& domain) {
  std::set<BackendServerName> servers;
  for (const BackendServer& server : plan.servers) {
    if (domain.empty() || server.failure_domain == domain) {
      servers.insert(server.name);
    }
  }
  return servers;
}

/** All servers of the domain are dead for a while; of every domain if the name is empty. */
Scenario Loss(const FleetPlan& plan, std::string name, const FailureDomainName& domain) {
  Scenario scenario{std::move(name), TenTenants(kLoadUnderFailure)};
  scenario.failure_ends = kFailureAt + kFailureFor;
  const auto lost = ServersIn(plan, domain);
  scenario.prepare = [lost](Simulation& simulation) {
    for (const BackendServerName& server : lost) {
      simulation.Time().Post(kFailureAt,
                             [&simulation, server] { simulation.KillServer(server, kFailureFor); });
    }
  };
  scenario.carried = [&plan, lost](Duration at, double offered) {
    return CarriedRequestsPerSecond(plan, offered,
                                    IsDuringFailure(at) ? lost : std::set<BackendServerName>{});
  };
  return scenario;
}

Scenario Storm(const FleetPlan& plan) {
  constexpr Duration kOutage = std::chrono::seconds(30);
  Scenario scenario{"storm", TenTenants(kLoadInStorm)};
  scenario.clients_come_back = true;
  scenario.failure_ends = kFailureAt + kOutage;
  scenario.end = std::chrono::seconds(150);
  const auto all = ServersIn(plan, "");
  scenario.prepare = [all, kOutage](Simulation& simulation) {
    for (const BackendServerName& server : all) {
      simulation.Time().Post(
          kFailureAt, [&simulation, server, kOutage] { simulation.KillServer(server, kOutage); });
    }
  };
  scenario.carried = [](Duration, double offered) { return offered; };
  return scenario;
}

Scenario StageDeaths(const FleetPlan& plan) {
  Scenario scenario{"stage_deaths", TenTenants(kLoadUnderFailure)};
  scenario.failure_ends = kFailureAt + kFailureFor;
  scenario.end = std::chrono::seconds(100);
  scenario.carried = [&plan](Duration at, double offered) {
    std::set<BackendServerName> lost;
    for (int death = 0; death < 3; ++death) {
      const Duration since = at - kFailureAt - death * std::chrono::seconds(30);
      if (since >= Duration::zero() && since < kDowntime) {
        lost.insert(plan.servers[static_cast<std::size_t>(death) * 7 + 1].name);
      }
    }
    return CarriedRequestsPerSecond(plan, offered, lost);
  };
  scenario.prepare = [&plan](Simulation& simulation) {
    for (int death = 0; death < 3; ++death) {
      const BackendServerName server = plan.servers[static_cast<std::size_t>(death) * 7 + 1].name;
      simulation.Time().Post(kFailureAt + death * std::chrono::seconds(30),
                             [&simulation, server] { simulation.KillServer(server, kDowntime); });
    }
  };
  return scenario;
}

Scenario LinkDegraded(const FleetPlan& plan) {
  constexpr double kFactor = 100.0;
  Scenario scenario{"link_degraded", TenTenants(kLoadUnderFailure)};
  scenario.failure_ends = kFailureAt + kFailureFor;
  scenario.prepare = [](Simulation& simulation) {
    simulation.Time().Post(kFailureAt, [&simulation] {
      simulation.Network().Degrade("kariakoo", kLostDomain, kFactor);
    });
    simulation.Time().Post(kFailureAt + kFailureFor, [&simulation] {
      simulation.Network().Degrade("kariakoo", kLostDomain, 1.0);
    });
  };
  FleetPlan degraded = plan;
  for (const auto& [from, to] : {std::pair{"kariakoo", "msasani"}, {"msasani", "kariakoo"}}) {
    Link link = LinkBetween(plan, from, to);
    link.bytes_per_second /= kFactor;
    degraded.links.push_back(link);
  }
  scenario.carried = [&plan, degraded](Duration at, double offered) {
    return CarriedRequestsPerSecond(IsDuringFailure(at) ? degraded : plan, offered);
  };
  return scenario;
}

Scenario InstancesReplaced() {
  Scenario scenario{"instances_replaced", TenTenants(kLoadUnderFailure)};
  scenario.failure_ends = kFailureAt + kFailureFor;
  scenario.prepare = [](Simulation& simulation) {
    for (std::size_t turn = 0; turn < 10; ++turn) {
      simulation.Time().Post(kFailureAt + turn * std::chrono::seconds(2), [&simulation, turn] {
        simulation.ReplaceInstance(turn % simulation.InstanceCount());
      });
    }
  };
  return scenario;
}

void RunAll() {
  FleetPlan plan = MakeThirtyWorkers();
  plan.demand = Workload::DemandOf({}, {{"assistant", 0.7}, {"drafting", 0.3}});
  const std::vector<Scenario> scenarios = {{"overload_2x", TenTenants(2.0)},
                                           {"overload_10x", TenTenants(10.0)},
                                           Flood(),
                                           Storm(plan),
                                           StageDeaths(plan),
                                           Loss(plan, "domain_lost", kLostDomain),
                                           LinkDegraded(plan),
                                           InstancesReplaced()};
  for (std::size_t first = 0; first < scenarios.size(); first += kRunsAtOnce) {
    std::vector<std::future<std::string>> results;
    for (std::size_t run = first; run < std::min(scenarios.size(), first + kRunsAtOnce); ++run) {
      results.push_back(std::async(std::launch::async, [&plan, &scenarios, run] {
        return ScenarioRun(plan, scenarios[run]).Run();
      }));
    }
    for (std::future<std::string>& result : results) {
      fmt::print("{}", result.get());
    }
  }
}

}  // namespace
}  // namespace zinnia::bench

int main() {
  zinnia::bench::RunAll();
  return 0;
}
