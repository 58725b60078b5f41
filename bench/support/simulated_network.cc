#include "bench/support/simulated_network.h"

#include <algorithm>

namespace zinnia::bench {

SimulatedNetwork::SimulatedNetwork(SimulationTime& time, const FleetPlan& plan)
    : m_time(time), m_plan(plan) {
  for (const BackendServer& server : plan.servers) {
    for (const FailureDomainName& domain : plan.instance_domains) {
      Find(server.failure_domain, domain);
      Find(domain, server.failure_domain);
    }
  }
}

Duration SimulatedNetwork::Transfer(const FailureDomainName& from,
                                    const FailureDomainName& to,
                                    double bytes) {
  State& state = Find(from, to);
  const std::chrono::duration<double> sending(bytes * state.factor / state.link.bytes_per_second);
  state.busy_until =
      std::max(state.busy_until, m_time.Now()) + std::chrono::duration_cast<Duration>(sending);
  const auto one_way = std::chrono::duration_cast<Duration>(state.link.one_way * state.factor);
  return state.busy_until - m_time.Now() + one_way;
}

void SimulatedNetwork::Degrade(const FailureDomainName& from,
                               const FailureDomainName& to,
                               double factor) {
  Find(from, to).factor = factor;
  Find(to, from).factor = factor;
}

std::vector<Link> SimulatedNetwork::PresentLinks() const {
  std::vector<Link> links;
  for (const auto& [pair, state] : m_states) {
    Link link = state.link;
    link.one_way = std::chrono::duration_cast<Duration>(link.one_way * state.factor);
    link.bytes_per_second /= state.factor;
    links.push_back(link);
  }
  return links;
}

SimulatedNetwork::State& SimulatedNetwork::Find(const FailureDomainName& from,
                                                const FailureDomainName& to) {
  const auto found = m_states.find({from, to});
  if (found != m_states.end()) {
    return found->second;
  }
  return m_states.emplace(std::pair(from, to), State{.link = LinkBetween(m_plan, from, to)})
      .first->second;
}

}  // namespace zinnia::bench
