#include "zinnia_decisions/admission/organisation_limits.h"

#include <algorithm>
#include <cmath>

namespace zinnia {
namespace {

constexpr double kWeightStepOfPriority = 4.0;
constexpr double kHighestPriorityStep = 4.0;
constexpr double kMinWeight = 1e-3;
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);

double Burst(const Organisation& contract) {
  return std::max(1.0, contract.requests_per_second);
}

}  // namespace

void OrganisationLimits::SetContract(const Organisation& organisation) {
  const auto found = m_rows.find(organisation.name);
  if (found != m_rows.end()) {
    found->second.contract = organisation;
    return;
  }
  m_rows.emplace(organisation.name, Row{.contract = organisation,
                                        .tokens = Burst(organisation),
                                        .retry_after_slots = RetryAfterPlanner(m_settings)});
}

double OrganisationLimits::WeightOf(const OrganisationName& organisation) const {
  const auto found = m_rows.find(organisation);
  if (found == m_rows.end()) {
    return 1.0;
  }
  const Organisation& contract = found->second.contract;
  const double steps =
      std::clamp(static_cast<double>(contract.priority) - 1.0, -1.0, kHighestPriorityStep);
  return std::max(kMinWeight, contract.weight) * std::pow(kWeightStepOfPriority, steps);
}

std::optional<std::chrono::milliseconds> OrganisationLimits::TryAcquire(
    const OrganisationName& organisation,
    TimePoint now,
    RandomSource& random) {
  const auto found = m_rows.find(organisation);
  if (found == m_rows.end()) {
    return std::nullopt;
  }
  Row& row = found->second;
  Refill(row, now);
  const Organisation& contract = row.contract;
  const bool too_many =
      contract.concurrent_requests > 0 && row.requests_in_flight >= contract.concurrent_requests;
  const bool too_fast = contract.requests_per_second > 0.0 && row.tokens < 1.0;
  if (too_many || too_fast) {
    const double rate = too_fast ? contract.requests_per_second : contract.concurrent_requests;
    return row.retry_after_slots.ReserveSlot(now, kMinRetryAfter, 1.0, rate, random);
  }
  row.tokens -= 1.0;
  ++row.requests_in_flight;
  return std::nullopt;
}

void OrganisationLimits::Release(const OrganisationName& organisation) {
  const auto found = m_rows.find(organisation);
  if (found != m_rows.end() && found->second.requests_in_flight > 0) {
    --found->second.requests_in_flight;
  }
}

void OrganisationLimits::Refill(Row& row, TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - row.refilled_at).count();
  row.refilled_at = now;
  row.tokens =
      std::min(Burst(row.contract), row.tokens + seconds * row.contract.requests_per_second);
}

}  // namespace zinnia
