#pragma once

#include <variant>

#include "zinnia_adapters/language/change_command.h"
#include "zinnia_adapters/language/explain_command.h"
#include "zinnia_adapters/language/move_role_command.h"
#include "zinnia_adapters/language/put_command.h"
#include "zinnia_adapters/language/remove_command.h"
#include "zinnia_adapters/language/show_command.h"

namespace zinnia {

/** `help`: the language in one page. */
struct HelpCommand {
  bool operator==(const HelpCommand&) const = default;
};

/** A parsed command of the operators' language. @see ParseCommand, CommandExecutor */
using Command = std::variant<HelpCommand,
                             ShowCommand,
                             ChangeCommand,
                             PutCommand,
                             RemoveCommand,
                             MoveRoleCommand,
                             ExplainCommand>;

}  // namespace zinnia
