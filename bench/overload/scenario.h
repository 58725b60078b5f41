#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bench/support/simulation.h"

namespace zinnia::bench {

/** An organisation of the benchmark: its contract's weight and what it offers, in parts of its fair
    share of the bound. */
struct Tenant {
  OrganisationName name;
  double weight = 1.0;
  double offered_in_shares = 1.0;
};

/** One overload or failure to run. */
struct Scenario {
  std::string name;
  std::vector<Tenant> tenants;
  bool clients_come_back = false;
  Duration end = std::chrono::seconds(40);

  /** From here on the time until refusals stay below two percent is counted. */
  Duration failure_ends{};

  /** Prepares failures; may be empty. */
  std::function<void(Simulation&)> prepare;

  /** Requests a second that the hardware could carry at that time; empty: the plan's bound. */
  std::function<double(Duration at, double offered)> carried;
};

/** What one organisation got. */
struct TenantCount {
  double offered_tokens = 0.0;
  double answered_tokens = 0.0;
};

/** Runs a scenario and counts credits, refusals and misses, after a warm-up of some seconds. */
class ScenarioRun final : public OutcomeListener {
 public:
  ScenarioRun(const FleetPlan& plan, const Scenario& scenario);

  /** Runs to the end and returns the lines to print. */
  std::string Run();

  void OnToken(const OfferedRequest& request, Duration since_last, bool first) override;
  void OnAnswered(const OfferedRequest& request, bool steady) override;
  void OnRefused(const OfferedRequest& request, const Error& error, bool at_once) override;
  void OnFailed(const OfferedRequest& request) override;

 private:
  static SimulationSettings MakeSettings();
  void OfferAll();
  void ComeBack(const OfferedRequest& request, Duration after);
  bool IsMeasured(TimePoint arrival) const;
  double BestCredit() const;
  double WorstFairness() const;
  double SecondsToNormal() const;
  std::size_t SecondNow();
  std::string Report() const;

  const FleetPlan& m_plan;
  const Scenario& m_scenario;
  const double m_bound;
  Simulation m_simulation;
  RandomSource m_random{99};
  double m_offered_per_second = 0.0;
  std::map<OrganisationName, TenantCount> m_tenants;
  std::vector<double> m_refused_in_second;
  std::vector<double> m_asked_in_second;
  double m_credit = 0.0;
  double m_answered = 0.0;
  double m_missed = 0.0;
  double m_refused_at_once = 0.0;
  double m_refused_late = 0.0;
  double m_failed = 0.0;
  double m_first_tries = 0.0;
  double m_retries = 0.0;
};

}  // namespace zinnia::bench
