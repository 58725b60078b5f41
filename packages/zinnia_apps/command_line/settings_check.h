#pragma once

#include <string>

#include "zinnia_apps/command_line/exit_code.h"

namespace zinnia {

/** Prints every fault of a settings file, one a line, to standard output. */
ExitCode CheckSettingsFile(const std::string& file_name);

}  // namespace zinnia
