#pragma once

#include <string>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/forwarding/path_part.h"

namespace zinnia {

/** Formats a duration in whole milliseconds for a log field. */
std::string Milliseconds(Duration duration);

/** Formats a path as "server=first-end,..." for a log field. */
std::string DescribePath(const LayerPath& path);

}  // namespace zinnia
