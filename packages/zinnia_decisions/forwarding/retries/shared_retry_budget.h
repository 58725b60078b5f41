#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

struct ForwardingView;

/** Limit on the retries of all instances, per service and sliding window:
   `ratio` times the requests plus `slack`. */
struct SharedRetryBudgetSettings {
  double ratio = 0.2;
  double slack = 100.0;
  Duration window = std::chrono::seconds(10);
};

/** This instance's part of a retry budget for all instances.

    With separate budgets, all instances together could multiply the load of a
   failing service. Each instance keeps a token bucket per service: requests and
   time add tokens, a retry takes one. The parts of all instances add up to the
   limit without coordination.

    A new process begins with empty buckets, since its previous life may have
   spent what it had. Whatever instances are restarted, and however often, the
   retries of any window are covered by the tokens saved before it and those
   added within it.
*/
class SharedRetryBudget {
 public:
  SharedRetryBudget(const Clock& clock, SharedRetryBudgetSettings settings);

  void SetSettings(SharedRetryBudgetSettings settings) { m_settings = settings; }

  void OnRequest(const ServiceName& service);

  /** Whether TrySpend would succeed now. */
  [[nodiscard]] bool HasRetry(const ServiceName& service, const ForwardingView& view);

  /** Consumes one token. Returns false if there is none. */
  [[nodiscard]] bool TrySpend(const ServiceName& service, const ForwardingView& view);

 private:
  static constexpr std::size_t kSlices = 10;

  struct Slice {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
  };

  struct Bucket {
    double tokens = 0.0;

    /** Until when the tokens that time adds are in `tokens`. */
    TimePoint refilled_until{};
    std::array<Slice, kSlices> slices;
  };

  Bucket& BucketOf(const ServiceName& service);
  std::int64_t SliceNumber() const;
  double RecentRequests(const Bucket& bucket) const;
  void Refill(Bucket& bucket, double slack_share) const;
  double Capacity(const Bucket& bucket, double slack_share) const;

  const Clock& m_clock;
  SharedRetryBudgetSettings m_settings;

  /** When time begins to add tokens. */
  const TimePoint m_refill_from;
  std::map<ServiceName, Bucket> m_buckets;
};

}  // namespace zinnia
