#include "zinnia_decisions/forwarding/limits/rendezvous_limit_division.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>

#include "zinnia_decisions/membership/rendezvous.h"
#include "zinnia_world/fleet/instance.h"

namespace zinnia {
namespace {

// The number of holders is linear in the limit, plus a few so that small limits are shared too. It
// also bounds the combined burst of all holders, which must stay well below 1.5 times the limit.
constexpr double kHoldersPerRequestRate = 0.75;
constexpr double kExtraHolders = 2.0;

// With a smaller burst, a holder with uneven traffic would not use its share.
constexpr double kMinBurstRequests = 2.0;

// The burst of a large share, as the time in which its permits accrue.
constexpr std::chrono::duration<double> kBurstDuration{0.5};

}  // namespace

LimitShare RendezvousLimitDivision::ShareOf(const InstanceName& self,
                                            const std::vector<Instance>& instances,
                                            const BackendServerName& server,
                                            const FailureDomainName& server_domain,
                                            double requests_per_second) const {
  const auto own = std::find_if(instances.begin(), instances.end(),
                                [&](const Instance& instance) { return instance.name == self; });
  if (own == instances.end()) {
    return {};
  }
  const auto rank = [&](const Instance& instance) {
    return std::make_tuple(instance.failure_domain == server_domain,
                           RendezvousWeight(server, instance.name), instance.name);
  };
  const auto own_rank = rank(*own);
  const auto before = std::count_if(instances.begin(), instances.end(),
                                    [&](const auto& other) { return rank(other) > own_rank; });
  const auto count = static_cast<double>(instances.size());
  const double holders = std::clamp(
      std::floor(requests_per_second * kHoldersPerRequestRate + kExtraHolders), 1.0, count);
  if (static_cast<double>(before) >= holders) {
    return {};
  }
  const double share = requests_per_second / holders;
  return {share, std::max(kMinBurstRequests, share * kBurstDuration.count()), count / holders};
}

}  // namespace zinnia
