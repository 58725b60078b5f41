#pragma once

#include "zinnia_apps/command_line/exit_code.h"

namespace zinnia {

class CommandRunner;

/** Reads commands from the terminal until its end or `exit`, with history and completion of the
    language's words. Gives the exit code of the last command. */
ExitCode RunShell(CommandRunner& runner);

}  // namespace zinnia
