#include "zinnia_decisions/forwarding/division/proportional_division.h"

#include <algorithm>

#include "zinnia_decisions/forwarding/division/service_demand.h"

namespace zinnia {
namespace {

/** Upper limit of the queued streams that count. Reports do not include those of other instances;
   if all counted their own in full, the sum of all shares would exceed 1 by the length of the
   queues. */
constexpr double kQueuedPerRunning = 0.1;
constexpr double kMinQueued = 1.0;

}  // namespace

double ProportionalDivision::ShareOf(const BackendServerName&, const ServiceDemand& demand) const {
  const double queued = std::min(demand.queued, kMinQueued + kQueuedPerRunning * demand.running);
  // An instance without streams has the share of one, for the stream that is to be placed.
  const double own = std::max(1.0, demand.running + queued);
  return own / (own + demand.others_running);
}

}  // namespace zinnia
