#pragma once

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Latency and bandwidth between two failure domains, or within one if both names are equal. */
struct Link {
  FailureDomainName from;
  FailureDomainName to;
  Duration one_way{};
  double bytes_per_second = 0.0;
};

}  // namespace zinnia
