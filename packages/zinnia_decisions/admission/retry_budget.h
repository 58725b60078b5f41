#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Limits of RetryBudget. */
struct RetryBudgetSettings {
  /** Retries allowed for each first try. */
  double share_of_first_tries = 0.1;

  /** What an organisation that has sent nothing yet may spend, and the most that it can save up. */
  double initial = 3.0;
  double highest = 50.0;

  /** Comes back even without first tries, so that a quiet organisation is not locked out. */
  double per_second = 0.05;

  std::size_t highest_entries = 4096;
};

/** How many retries each organisation may still cause in each pool: a token bucket filled by first
    tries.

    Without it, a pool that fails most attempts gets several times its load in retries and cannot
    recover; one notices retries per first try well above the share.

    @see BudgetedRecoveryGate
*/
class RetryBudget {
 public:
  explicit RetryBudget(const Clock& clock, RetryBudgetSettings settings = {});

  void OnFirstTry(const OrganisationName& organisation, const std::string& pool);

  /** Takes one retry from the budget; false if none is left. */
  [[nodiscard]] bool TrySpend(const OrganisationName& organisation, const std::string& pool);

  /** How long until one retry has come back by time alone. */
  std::chrono::milliseconds TimeToOneRetry() const;

 private:
  struct Bucket {
    double tokens = 0.0;
    TimePoint refilled_at{};
  };

  Bucket& BucketOf(const OrganisationName& organisation, const std::string& pool);
  void DropOldest();

  const Clock& m_clock;
  const RetryBudgetSettings m_settings;
  std::map<std::pair<OrganisationName, std::string>, Bucket> m_buckets;
};

}  // namespace zinnia
