#include "bench/overload/scenario.h"

#include <fmt/format.h>

#include <algorithm>

#include "bench/support/flow_bound.h"
#include "zinnia_decisions/routing/completion_chooser.h"

namespace zinnia::bench {
namespace {

constexpr std::uint64_t kSeed = 11;
constexpr Duration kWarmUp = std::chrono::seconds(6);
constexpr Duration kPatiencePerToken = std::chrono::milliseconds(60);
constexpr Duration kPatienceBase = std::chrono::milliseconds(1'500);
constexpr Duration kPauseAfterFailure = std::chrono::seconds(1);
constexpr std::uint32_t kMostTries = 12;
constexpr double kNormalRefusedShare = 0.02;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

ScenarioRun::ScenarioRun(const FleetPlan& plan, const Scenario& scenario)
    : m_plan(plan),
      m_scenario(scenario),
      m_bound(RequestsPerSecondBound(plan)),
      m_simulation(plan, MakeSettings(), *this),
      m_refused_in_second(static_cast<std::size_t>(Seconds(scenario.end)) + 1),
      m_asked_in_second(m_refused_in_second.size()) {}

std::string ScenarioRun::Run() {
  OfferAll();
  if (m_scenario.prepare) {
    m_scenario.prepare(m_simulation);
  }
  m_simulation.Time().RunUntil(TimePoint{m_scenario.end});
  return Report();
}

void ScenarioRun::OnToken(const OfferedRequest&, Duration, bool) {}

void ScenarioRun::OnAnswered(const OfferedRequest& request, bool) {
  const TimePoint now = m_simulation.Time().Now();
  if (!IsMeasured(now)) {
    return;
  }
  m_answered += 1.0;
  const bool missed = now > request.arrival + *request.patience;
  m_missed += missed ? 1.0 : 0.0;
  m_credit += missed ? 0.0 : request.weight;
  m_tenants[request.organisation].answered_tokens += request.answer_tokens;
}

void ScenarioRun::OnRefused(const OfferedRequest& request, const Error& error, bool at_once) {
  m_asked_in_second[SecondNow()] += 1.0;
  m_refused_in_second[SecondNow()] += 1.0;
  if (IsMeasured(request.arrival)) {
    (at_once ? m_refused_at_once : m_refused_late) += 1.0;
  }
  ComeBack(request, *error.retry_after);
}

void ScenarioRun::OnFailed(const OfferedRequest& request) {
  m_failed += 1.0;
  ComeBack(request, kPauseAfterFailure + FromSeconds(RandomUnit(m_random)));
}

SimulationSettings ScenarioRun::MakeSettings() {
  SimulationSettings settings;
  settings.seed = kSeed;
  settings.make_chooser = [](const Clock& clock, std::uint64_t seed) {
    return std::make_unique<CompletionChooser>(clock, RandomSource(seed));
  };
  return settings;
}

void ScenarioRun::OfferAll() {
  double weights = 0.0;
  for (const Tenant& tenant : m_scenario.tenants) {
    weights += tenant.weight;
  }
  std::uint64_t seed = kSeed;
  for (const Tenant& tenant : m_scenario.tenants) {
    m_simulation.SetContract({.name = tenant.name, .weight = tenant.weight});
    const double rate = tenant.offered_in_shares * m_bound * tenant.weight / weights;
    m_offered_per_second += rate;
    Workload workload({}, ++seed);
    for (OfferedRequest request :
         workload.DrawArrivals(m_plan.demand, rate, {}, TimePoint{m_scenario.end})) {
      request.organisation = tenant.name;
      request.weight = request.answer_tokens / m_plan.demand.at(request.model).answer_tokens;
      request.patience = kPatienceBase + request.answer_tokens * kPatiencePerToken;
      m_simulation.Offer(request);
      m_first_tries += 1.0;
      m_asked_in_second[static_cast<std::size_t>(Seconds(request.arrival.time_since_epoch()))] +=
          1.0;
      if (IsMeasured(request.arrival)) {
        m_tenants[tenant.name].offered_tokens += request.answer_tokens;
      }
    }
  }
}

void ScenarioRun::ComeBack(const OfferedRequest& request, Duration after) {
  if (!m_scenario.clients_come_back || request.tries >= kMostTries) {
    return;
  }
  OfferedRequest again = request;
  again.arrival = m_simulation.Time().Now() + after;
  ++again.tries;
  m_retries += 1.0;
  m_simulation.Offer(again);
}

bool ScenarioRun::IsMeasured(TimePoint at) const {
  return at >= TimePoint{kWarmUp};
}

double ScenarioRun::BestCredit() const {
  double best = 0.0;
  for (Duration at = kWarmUp; at < m_scenario.end; at += std::chrono::seconds(1)) {
    best += m_scenario.carried ? m_scenario.carried(at, m_offered_per_second)
                               : CarriedRequestsPerSecond(m_plan, m_offered_per_second);
  }
  return best;
}

double ScenarioRun::WorstFairness() const {
  double answered = 0.0;
  double weights = 0.0;
  for (const Tenant& tenant : m_scenario.tenants) {
    answered += m_tenants.at(tenant.name).answered_tokens;
    weights += tenant.weight;
  }
  double worst = 1.0;
  for (const Tenant& tenant : m_scenario.tenants) {
    const TenantCount& count = m_tenants.at(tenant.name);
    const double due = std::min(count.offered_tokens, answered * tenant.weight / weights);
    worst = std::min(worst, count.answered_tokens / due);
  }
  return worst;
}

double ScenarioRun::SecondsToNormal() const {
  std::size_t last_abnormal = 0;
  for (std::size_t second = 0; second + 1 < m_asked_in_second.size(); ++second) {
    if (m_refused_in_second[second] > kNormalRefusedShare * m_asked_in_second[second]) {
      last_abnormal = second + 1;
    }
  }
  return static_cast<double>(last_abnormal);
}

std::size_t ScenarioRun::SecondNow() {
  const double now = Seconds(m_simulation.Time().Now().time_since_epoch());
  return std::min(static_cast<std::size_t>(now), m_asked_in_second.size() - 1);
}

std::string ScenarioRun::Report() const {
  const double admitted = std::max(1.0, m_answered);
  return fmt::format(
      "{0}_credit_ratio={1:.4f}\n{0}_fairness_worst_ratio={2:.3f}\n"
      "{0}_refused_at_once={3:.0f}\n{0}_refused_after_waiting={4:.0f}\n"
      "{0}_admitted_then_missed_percent={5:.3f}\n{0}_failed={6:.0f}\n"
      "{0}_retries_per_first_try={7:.3f}\n{0}_time_to_normal_s={8:.0f}\n",
      m_scenario.name, m_credit / BestCredit(), WorstFairness(), m_refused_at_once, m_refused_late,
      100.0 * m_missed / admitted, m_failed, m_retries / m_first_tries,
      std::max(0.0, SecondsToNormal() - Seconds(m_scenario.failure_ends)));
}

}  // namespace zinnia::bench
