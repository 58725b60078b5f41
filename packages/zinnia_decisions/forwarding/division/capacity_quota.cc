#include "zinnia_decisions/forwarding/division/capacity_quota.h"

#include <limits>

namespace zinnia {

double CapacityQuota::LargestPart(double own) const {
  if (!token_layers) {
    return std::numeric_limits<double>::infinity();
  }
  // The largest size with own + size <= token_layers + rounding * size.
  return (*token_layers - own) / (1.0 - rounding);
}

}  // namespace zinnia
