#pragma once

#include <map>
#include <optional>

#include "zinnia_decisions/admission/return_planner.h"
#include "zinnia_world/contracts/organisation.h"

namespace zinnia {

/** The contracts' limits on one instance: requests a second and requests at once, and the weight of
    the organisation's share. Organisations without a contract have weight 1 and no limits. */
class OrganisationLimits {
 public:
  explicit OrganisationLimits(const AdmissionSettings& settings) : m_settings(settings) {}

  void SetContract(const Organisation& organisation);

  /** Share between organisations: the weight, times four for each step of priority above 1. A low
      priority gets less under load but never nothing. */
  double WeightOf(const OrganisationName& organisation) const;

  /** Counts one more request; if a limit forbids it, counts nothing and returns when to come back.
      Call Leave once for each that entered. */
  std::optional<std::chrono::milliseconds> TryEnter(const OrganisationName& organisation,
                                                    TimePoint now,
                                                    RandomSource& random);
  void Leave(const OrganisationName& organisation);

 private:
  struct Row {
    Organisation contract;
    double tokens = 0.0;
    TimePoint refilled_at{};
    std::uint32_t present = 0;
    ReturnPlanner returns;
  };

  static void Refill(Row& row, TimePoint now);

  AdmissionSettings m_settings;
  std::map<OrganisationName, Row> m_rows;
};

}  // namespace zinnia
