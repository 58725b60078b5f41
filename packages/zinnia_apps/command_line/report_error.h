#pragma once

#include <string>

#include "zinnia_apps/command_line/exit_code.h"
#include "zinnia_base/errors/error.h"

namespace zinnia {

/** Prints kind, message and remedy to standard error and gives the exit code for the kind. */
ExitCode ReportError(const Error& error);

}  // namespace zinnia
