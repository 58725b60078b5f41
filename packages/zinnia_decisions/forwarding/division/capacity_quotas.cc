#include "zinnia_decisions/forwarding/division/capacity_quotas.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <string>
#include <utility>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/division/server_capacity.h"
#include "zinnia_decisions/forwarding/observed_state/server_use.h"
#include "zinnia_decisions/membership/rendezvous.h"

namespace zinnia {
namespace {

/** Share in use above which a server is scarce. Reports lag, so a burst fills a server well beyond
    the share that they show. */
constexpr double kScarceShare = 0.3;

/** Interval after which fractions of a request are rounded anew, so that no instance is kept from a
    server for long. */
constexpr std::chrono::seconds kRoundingPeriod{1};

/** Part of a request that each instance may add at a free server beyond its share. In fleets whose
    instances have about one stream at each server, shares of the free part are mostly rounded down,
    and requests would wait while servers are free. */
constexpr double kExtraRequests = 0.6;

/** Part of its past use that an instance exchanges for its share of the server. Without it, an
    instance whose demand is new would get nothing at a full server. */
constexpr double kExchangedPart = 0.2;

/** Sum over all instances: at most `usable`, plus the rounding of each and `extra`. */
double Quota(double usable, double share, double past, double others, double extra) {
  const double sum = past + others;
  const double kept = sum > usable ? past * usable / sum : past;
  const double free = std::max(0.0, usable - sum);
  const double fair = share * std::min(sum, usable);
  const double free_part = usable > 0.0 ? free / usable : 0.0;
  return kept + kExchangedPart * (fair - kept) + share * free + extra * free_part;
}

}  // namespace

CapacityQuotas::CapacityQuotas(const Clock& clock, InstanceName self)
    : m_clock(clock), m_self(std::move(self)) {}

double CapacityQuotas::Rounding(const BackendServerName& key) const {
  constexpr int kBits = 53;  // Of the mantissa, so that the result is below 1.
  const auto period = m_clock.Now().time_since_epoch() / kRoundingPeriod;
  const std::uint64_t hash = RendezvousWeight(key + "/" + std::to_string(period), m_self);
  return std::ldexp(static_cast<double>(hash >> (64 - kBits)), -kBits);
}

CapacityQuota CapacityQuotas::QuotaOf(const ServerCapacity& capacity,
                                      double share,
                                      const ServerUse& past,
                                      const ServerUse& others,
                                      double quota_share) const {
  CapacityQuota quota;
  const double requests = past.first_stage_requests + others.first_stage_requests;
  const double token_layers = past.token_layers + others.token_layers;
  const bool requests_scarce = requests > capacity.requests * kScarceShare;
  const bool memory_scarce = token_layers > capacity.token_layers * kScarceShare;
  if (!requests_scarce && !memory_scarce) {
    return quota;
  }
  if (requests_scarce) {
    const double usable = capacity.usable_requests * quota_share;
    quota.requests = static_cast<std::uint32_t>(Rounding(capacity.server) +
                                                Quota(usable, share, past.first_stage_requests,
                                                      others.first_stage_requests, kExtraRequests));
  }
  if (memory_scarce) {
    // The same at all servers: a request needs memory at every server of its path, and would seldom
    // find all of them rounded up at once.
    quota.rounding = Rounding({});
    const double usable = capacity.usable_token_layers * quota_share;
    const double mean_part = token_layers / std::max(1U, past.requests + others.requests);
    quota.token_layers =
        Quota(usable, share, past.token_layers, others.token_layers, kExtraRequests * mean_part);
  }
  return quota;
}

}  // namespace zinnia
