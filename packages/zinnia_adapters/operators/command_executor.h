#pragma once

#include <functional>
#include <optional>
#include <string>

#include "zinnia_adapters/language/command.h"
#include "zinnia_adapters/operators/command_reply.h"
#include "zinnia_base/errors/result.h"

namespace zinnia {

class OperatorDesk;

/** Who sent a command and how the answer is to be written, unless the command says so itself.
    `change_id` must be unique to the change, and the same when the same change is sent again. */
struct CommandContext {
  OutputFormat format = OutputFormat::kTable;
  std::string who;
  std::string change_id;
};

/** Runs parsed commands against an OperatorDesk: filters, sorts and limits tables, merges changed
    fields into entries, writes the answer.

    Holds no state of a command, so it is safe from any thread if the desk is. Must outlive its
    pending callbacks, and so must the desk.

    @see ParseCommand, OperatorServer
*/
class CommandExecutor {
 public:
  using Callback = std::function<void(Result<CommandReply>)>;

  explicit CommandExecutor(OperatorDesk& desk) : m_desk(desk) {}

  /** The callback runs exactly once, from inside the call or later. */
  void Execute(Command command, CommandContext context, Callback callback);

 private:
  /** Makes the new value of an entry from the present one; without a value the entry goes. */
  using MakeValue =
      std::function<Result<std::optional<std::string>>(const std::optional<std::string>&)>;

  void Run(const HelpCommand& command, const CommandContext& context, const Callback& callback);
  void Run(ShowCommand command, const CommandContext& context, Callback callback);
  void Run(ChangeCommand command, CommandContext context, Callback callback);
  void Run(PutCommand command, CommandContext context, Callback callback);
  void Run(const RemoveCommand& command, CommandContext context, Callback callback);
  void Run(const MoveRoleCommand& command, const CommandContext& context, Callback callback);
  void Run(const ExplainCommand& command, const CommandContext& context, Callback callback);
  void EditEntry(const std::string& path,
                 std::optional<ConfigurationRevision> against,
                 CommandContext context,
                 MakeValue make_value,
                 Callback callback);
  void OrderChange(ConfigurationRevision against,
                   ConfigurationEdit edit,
                   CommandContext context,
                   Callback callback);

  OperatorDesk& m_desk;
};

}  // namespace zinnia
