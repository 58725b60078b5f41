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
  /** Tokens added for each first attempt; a retry takes one token. */
  double tokens_per_first_attempt = 0.1;

  /** Tokens in a new bucket, and the capacity of a bucket. */
  double initial_tokens = 3.0;
  double max_tokens = 50.0;

  /** Refill rate without first attempts, so that organisations with little traffic can retry. */
  double tokens_per_second = 0.05;

  std::size_t max_entries = 4096;
};

/** Limits retries per organisation and pool by a token bucket that first attempts refill.

    This prevents retries from multiplying the load of a failing pool.

    @see BudgetedRecoveryGate
*/
class RetryBudget {
 public:
  explicit RetryBudget(const Clock& clock, RetryBudgetSettings settings = {});

  void OnFirstAttempt(const OrganisationName& organisation, const std::string& pool);

  /** Takes one token; returns false if none is left. */
  [[nodiscard]] bool TrySpend(const OrganisationName& organisation, const std::string& pool);

  /** Time in which the refill rate alone adds one token. */
  std::chrono::milliseconds TimeToNextToken() const;

 private:
  struct Bucket {
    double tokens = 0.0;
    TimePoint refilled_at{};
  };

  Bucket& BucketOf(const OrganisationName& organisation, const std::string& pool);
  void EvictOldest();

  const Clock& m_clock;
  const RetryBudgetSettings m_settings;
  std::map<std::pair<OrganisationName, std::string>, Bucket> m_buckets;
};

}  // namespace zinnia
