#include "zinnia_decisions/forwarding/retries/shared_retry_budget.h"

#include <algorithm>

#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"

namespace zinnia {
namespace {

// Parts of the ratio and of the slack that may be saved, and parts that are added as requests and
// time pass. The two parts of each add up to less than 1, which keeps the sum within the limit in
// every window. The rest covers instances that do not agree on their number.
constexpr double kSavedRatio = 0.40;
constexpr double kAddedRatio = 0.55;
constexpr double kSavedSlack = 0.45;
constexpr double kAddedSlack = 0.50;

// A process that has just started may know few other instances, and its share would be too large.
constexpr Duration kNoRefillAfterStart = std::chrono::seconds(2);

}  // namespace

SharedRetryBudget::SharedRetryBudget(const Clock& clock, SharedRetryBudgetSettings settings)
    : m_clock(clock), m_settings(settings), m_refill_from(clock.Now() + kNoRefillAfterStart) {}

void SharedRetryBudget::OnRequest(const ServiceName& service) {
  Bucket& bucket = BucketOf(service);
  bucket.tokens += kAddedRatio * m_settings.ratio;
  const std::int64_t number = SliceNumber();
  Slice& slice = bucket.slices[static_cast<std::size_t>(number) % kSlices];
  if (slice.number != number) {
    slice = {number, 0};
  }
  ++slice.requests;
}

bool SharedRetryBudget::HasRetry(const ServiceName& service, const ForwardingView& view) {
  Bucket& bucket = BucketOf(service);
  const double slack_share = m_settings.slack / static_cast<double>(view.InstancesSharingLimits());
  Refill(bucket, slack_share);
  bucket.tokens = std::min(bucket.tokens, Capacity(bucket, slack_share));
  return bucket.tokens >= 1.0;
}

bool SharedRetryBudget::TrySpend(const ServiceName& service, const ForwardingView& view) {
  if (!HasRetry(service, view)) {
    return false;
  }
  BucketOf(service).tokens -= 1.0;
  return true;
}

SharedRetryBudget::Bucket& SharedRetryBudget::BucketOf(const ServiceName& service) {
  const auto [found, is_new] = m_buckets.try_emplace(service);
  if (is_new) {
    found->second.refilled_until = m_refill_from;
  }
  return found->second;
}

std::int64_t SharedRetryBudget::SliceNumber() const {
  return m_clock.Now().time_since_epoch() / (m_settings.window / kSlices);
}

double SharedRetryBudget::RecentRequests(const Bucket& bucket) const {
  const std::int64_t oldest = SliceNumber() - static_cast<std::int64_t>(kSlices);
  double requests = 0.0;
  for (const Slice& slice : bucket.slices) {
    if (slice.number > oldest) {
      requests += slice.requests;
    }
  }
  return requests;
}

void SharedRetryBudget::Refill(Bucket& bucket, double slack_share) const {
  const TimePoint now = m_clock.Now();
  if (now <= bucket.refilled_until) {
    return;
  }
  const std::chrono::duration<double> passed = now - bucket.refilled_until;
  const std::chrono::duration<double> window = m_settings.window;
  bucket.tokens += kAddedSlack * slack_share * (passed / window);
  bucket.refilled_until = now;
}

double SharedRetryBudget::Capacity(const Bucket& bucket, double slack_share) const {
  return kSavedSlack * slack_share + kSavedRatio * m_settings.ratio * RecentRequests(bucket);
}

}  // namespace zinnia
