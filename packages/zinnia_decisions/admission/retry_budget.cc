#include "zinnia_decisions/admission/retry_budget.h"

#include <algorithm>

namespace zinnia {

RetryBudget::RetryBudget(const Clock& clock, RetryBudgetSettings settings)
    : m_clock(clock), m_settings(settings) {}

void RetryBudget::OnFirstAttempt(const OrganisationName& organisation, const std::string& pool) {
  Bucket& bucket = BucketOf(organisation, pool);
  bucket.tokens =
      std::min(m_settings.max_tokens, bucket.tokens + m_settings.tokens_per_first_attempt);
}

bool RetryBudget::TrySpend(const OrganisationName& organisation, const std::string& pool) {
  Bucket& bucket = BucketOf(organisation, pool);
  if (bucket.tokens < 1.0) {
    return false;
  }
  bucket.tokens -= 1.0;
  return true;
}

std::chrono::milliseconds RetryBudget::TimeToNextToken() const {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(1'000.0 / m_settings.tokens_per_second));
}

RetryBudget::Bucket& RetryBudget::BucketOf(const OrganisationName& organisation,
                                           const std::string& pool) {
  const TimePoint now = m_clock.Now();
  const auto found = m_buckets.find({organisation, pool});
  if (found == m_buckets.end()) {
    if (m_buckets.size() >= m_settings.max_entries) {
      EvictOldest();
    }
    return m_buckets[{organisation, pool}] = {m_settings.initial_tokens, now};
  }
  Bucket& bucket = found->second;
  const double seconds = std::chrono::duration<double>(now - bucket.refilled_at).count();
  bucket.tokens =
      std::min(m_settings.max_tokens, bucket.tokens + seconds * m_settings.tokens_per_second);
  bucket.refilled_at = now;
  return bucket;
}

void RetryBudget::EvictOldest() {
  m_buckets.erase(std::ranges::min_element(
      m_buckets, {}, [](const auto& entry) { return entry.second.refilled_at; }));
}

}  // namespace zinnia
