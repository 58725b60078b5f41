#pragma once

#include <string>

#include "zinnia_adapters/language/command.h"
#include "zinnia_base/errors/result.h"

namespace zinnia {

/** Parses one command. Fails with kInvalidCommand; the message names the column (from 1), what was
    expected there and what was found.

    @see HelpText for the language
*/
Result<Command> ParseCommand(const std::string& text);

}  // namespace zinnia
