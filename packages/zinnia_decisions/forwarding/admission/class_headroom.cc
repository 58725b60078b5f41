#include "zinnia_decisions/forwarding/admission/class_headroom.h"

#include <algorithm>

#include "zinnia_decisions/forwarding/admission/class_demand.h"

namespace zinnia {

void ClassHeadroom::SetPool(const PoolUse& use) {
  // Without other servers, room kept free would not help if the server is lost.
  const double needed = use.other_room > 0.0 ? use.largest_requests / use.other_room : 0.0;
  m_headroom = std::min(needed + kUrgentGrowth, kMaxHeadroom);
}

double ClassHeadroom::ShareOf(std::size_t request_class) const {
  if (IsUnderserved(request_class)) {
    return 1.0;
  }
  return 1.0 - m_headroom * m_demand.MoreUrgentPart(request_class);
}

bool ClassHeadroom::IsUnderserved(std::size_t request_class) const {
  return m_demand.ServedRatio(request_class) < kMinServedRatio;
}

}  // namespace zinnia
