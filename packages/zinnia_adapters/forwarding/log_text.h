#pragma once

#include <string>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/forwarding/path_part.h"

namespace zinnia {

/** The whole milliseconds of a duration, as a field of a log line. */
std::string Milliseconds(Duration duration);

/** "server=first-end,..." for log lines. */
std::string DescribePath(const LayerPath& path);

}  // namespace zinnia
