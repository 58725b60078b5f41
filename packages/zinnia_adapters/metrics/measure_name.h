#pragma once

#include <string_view>

#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {

/** The name of a measure in metrics and tables. */
std::string_view NameOf(Measure measure);

}  // namespace zinnia
