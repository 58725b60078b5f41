#pragma once

#include <string>
#include <vector>

#include "zinnia_apps/command_line/exit_code.h"

namespace zinnia {

struct LossObjectives;

/** Prints when requests were lost and to which cause, from log files of zinniad. */
ExitCode PrintLogLosses(const std::vector<std::string>& file_names,
                        const LossObjectives& objectives);

}  // namespace zinnia
