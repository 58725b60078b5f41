#pragma once

#include <map>
#include <utility>

#include "bench/support/fleet_plan.h"
#include "bench/support/simulation_time.h"

namespace zinnia::bench {

/** Links between failure domains in virtual time: each passes its bytes one after the other, then
    takes its one-way time. */
class SimulatedNetwork {
 public:
  SimulatedNetwork(SimulationTime& time, const FleetPlan& plan);

  /** Seconds until `bytes` sent now arrive; takes the link's time for them. */
  Duration Transfer(const FailureDomainName& from, const FailureDomainName& to, double bytes);

  /** Makes a link slower in both directions, in time and bytes; 1 mends it. */
  void Degrade(const FailureDomainName& from, const FailureDomainName& to, double factor);

  /** The links as they are now, for the snapshots. */
  std::vector<Link> PresentLinks() const;

 private:
  struct State {
    Link link;
    double factor = 1.0;
    TimePoint busy_until{};
  };

  State& Find(const FailureDomainName& from, const FailureDomainName& to);

  SimulationTime& m_time;
  const FleetPlan& m_plan;
  std::map<std::pair<FailureDomainName, FailureDomainName>, State> m_states;
};

}  // namespace zinnia::bench
