#pragma once

#include <map>
#include <optional>

#include "zinnia_decisions/admission/retry_after_planner.h"
#include "zinnia_world/contracts/organisation.h"

namespace zinnia {

/** Applies the contracts' request rate, concurrency limit and weight within one instance.
    Organisations without a contract have weight 1 and no limits. */
class OrganisationLimits {
 public:
  explicit OrganisationLimits(const AdmissionSettings& settings) : m_settings(settings) {}

  void SetContract(const Organisation& organisation);

  /** Returns the contract's weight, multiplied by 4 for each of up to 4 priority levels above 1 and
      divided by 4 for priority 0. It is always positive, so low priorities are not starved. */
  double WeightOf(const OrganisationName& organisation) const;

  /** Counts a request in, or returns the Retry-After delay if a limit is reached. Each request
      that was counted in needs one call of Release. */
  std::optional<std::chrono::milliseconds> TryAcquire(const OrganisationName& organisation,
                                                      TimePoint now,
                                                      RandomSource& random);
  void Release(const OrganisationName& organisation);

 private:
  struct Row {
    Organisation contract;
    double tokens = 0.0;
    TimePoint refilled_at{};
    std::uint32_t requests_in_flight = 0;
    RetryAfterPlanner retry_after_slots;
  };

  static void Refill(Row& row, TimePoint now);

  AdmissionSettings m_settings;
  std::map<OrganisationName, Row> m_rows;
};

}  // namespace zinnia
