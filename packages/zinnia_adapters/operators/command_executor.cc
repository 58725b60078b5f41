#include "zinnia_adapters/operators/command_executor.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <utility>

#include "zinnia_adapters/operators/decisions_table.h"
#include "zinnia_adapters/operators/help_text.h"
#include "zinnia_adapters/operators/table_formatter.h"
#include "zinnia_adapters/operators/table_query.h"
#include "zinnia_decisions/operators/operator_desk.h"
#include "zinnia_world/configuration/configuration.h"

namespace zinnia {
namespace {

namespace json = boost::json;

Error ErrorWithRemedy(ErrorKind kind, std::string message, std::string remedy) {
  Error error = MakeError(kind, std::move(message));
  error.remedy = std::move(remedy);
  return error;
}

/** Sets fields of an entry and keeps the others. */
Result<std::optional<std::string>> Merge(const ChangeCommand& command,
                                         const std::optional<std::string>& current) {
  if (!current && command.must_exist) {
    return ErrorWithRemedy(ErrorKind::kNotFound, fmt::format("there is no {}", command.path),
                           "check the name with 'show configuration', or use 'create'");
  }
  json::object entry;
  if (current) {
    entry = json::parse(*current).as_object();
  }
  for (const FieldAssignment& assignment : command.assignments) {
    entry[assignment.field] = json::parse(assignment.json);
  }
  return std::optional<std::string>(json::serialize(entry));
}

/** Refuses a change whose ground has moved.

    Without this, fields set against revision N would be merged into an entry that somebody wrote
    after N, or into a copy from before N on an instance that lags behind. The store's
    compare-and-swap would accept the second: the fields written in between would silently revert.
*/
Result<void> CheckGround(const std::string& path,
                         ConfigurationRevision against,
                         const CurrentConfigurationEntry& current) {
  if (current.entry_revision > against) {
    return MakeError(
        ErrorKind::kRevisionConflict,
        fmt::format("{} was changed at revision {}, after revision {}; the newest revision is {}",
                    path, current.entry_revision, against, current.revision));
  }
  if (current.revision < against) {
    return ErrorWithRemedy(
        ErrorKind::kRevisionConflict,
        fmt::format("this instance has revision {}, the change is against revision {}",
                    current.revision, against),
        "send the command again in a few seconds, or check the number after 'against'");
  }
  return {};
}

CommandReply ReplyAccepted(const std::string& path,
                           ConfigurationRevision revision,
                           OutputFormat format) {
  if (format == OutputFormat::kJson) {
    return {format, json::serialize(json::object{{"path", path}, {"revision", revision}}) + "\n"};
  }
  return {format, fmt::format("{} accepted as revision {}\n", path, revision)};
}

CommandReply ReplyText(const std::string& text, OutputFormat format) {
  if (format == OutputFormat::kJson) {
    return {format, json::serialize(json::object{{"text", text}}) + "\n"};
  }
  return {format, text};
}

}  // namespace

void CommandExecutor::Execute(Command command, CommandContext context, Callback callback) {
  std::visit(
      [&](auto&& specific) {
        Run(std::forward<decltype(specific)>(specific), std::move(context), std::move(callback));
      },
      std::move(command));
}

void CommandExecutor::Run(const HelpCommand&,
                          const CommandContext& context,
                          const Callback& callback) {
  callback(ReplyText(HelpText(), context.format));
}

void CommandExecutor::Run(ShowCommand command, const CommandContext& context, Callback callback) {
  const TableKind kind = command.table;
  m_desk.Table(kind, [command = std::move(command), format = context.format,
                      callback = std::move(callback)](Result<TableData> table) {
    if (!table) {
      callback(table.error());
      return;
    }
    const Result<TableData> answer = ApplyQuery(command, std::move(*table));
    if (!answer) {
      callback(answer.error());
      return;
    }
    const OutputFormat chosen = command.format.value_or(format);
    callback(CommandReply{chosen, FormatTable(*answer, chosen)});
  });
}

void CommandExecutor::Run(ChangeCommand command, CommandContext context, Callback callback) {
  const std::string path = command.path;
  const auto against = command.against;
  EditEntry(
      path, against, std::move(context),
      [command = std::move(command)](const auto& current) { return Merge(command, current); },
      std::move(callback));
}

void CommandExecutor::Run(PutCommand command, CommandContext context, Callback callback) {
  const std::string path = command.path;
  const auto against = command.against;
  EditEntry(
      path, against, std::move(context),
      [command = std::move(command)](
          const std::optional<std::string>& current) -> Result<std::optional<std::string>> {
        if (current && command.must_be_new) {
          return ErrorWithRemedy(ErrorKind::kInvalidRequest,
                                 fmt::format("{} exists already", command.path),
                                 "choose another name, or use 'change' or 'put'");
        }
        return std::optional(command.json);
      },
      std::move(callback));
}

void CommandExecutor::Run(const RemoveCommand& command, CommandContext context, Callback callback) {
  EditEntry(
      command.path, command.against, std::move(context),
      [path = command.path](
          const std::optional<std::string>& current) -> Result<std::optional<std::string>> {
        if (!current) {
          return ErrorWithRemedy(ErrorKind::kNotFound, fmt::format("there is no {}", path),
                                 "check the name with 'show configuration'");
        }
        return std::optional<std::string>();
      },
      std::move(callback));
}

void CommandExecutor::Run(const MoveRoleCommand& command,
                          const CommandContext& context,
                          Callback callback) {
  std::string text = fmt::format("moving {} to {}\n", command.role, command.instance);
  m_desk.MoveRole({command.role, command.instance},
                  [text = std::move(text), format = context.format,
                   callback = std::move(callback)](const Result<void>& done) {
                    if (!done) {
                      callback(done.error());
                      return;
                    }
                    callback(ReplyText(text, format));
                  });
}

void CommandExecutor::Run(const ExplainCommand& command,
                          const CommandContext& context,
                          Callback callback) {
  m_desk.Explain(command.kind, command.id,
                 [format = context.format, callback = std::move(callback)](
                     const Result<std::vector<DecisionRecord>>& records) {
                   if (!records) {
                     callback(records.error());
                     return;
                   }
                   callback(CommandReply{format, FormatTable(DecisionsTable(*records), format)});
                 });
}

void CommandExecutor::EditEntry(const std::string& path,
                                std::optional<ConfigurationRevision> against,
                                CommandContext context,
                                MakeValue make_value,
                                Callback callback) {
  if (!against) {
    callback(ErrorWithRemedy(ErrorKind::kInvalidCommand,
                             "the command does not say which revision it is ordered against",
                             "add 'against N'; GET /v1/revision gives N"));
    return;
  }
  m_desk.CurrentEntry(path, [this, path, against = *against, context = std::move(context),
                             make_value = std::move(make_value), callback = std::move(callback)](
                                const Result<CurrentConfigurationEntry>& current) {
    if (!current) {
      callback(current.error());
      return;
    }
    if (const Result<void> ground = CheckGround(path, against, *current); !ground) {
      callback(ground.error());
      return;
    }
    Result<std::optional<std::string>> value = make_value(current->value);
    if (!value) {
      callback(value.error());
      return;
    }
    OrderChange(against, {path, std::move(*value)}, context, callback);
  });
}

void CommandExecutor::OrderChange(ConfigurationRevision against,
                                  ConfigurationEdit edit,
                                  CommandContext context,
                                  Callback callback) {
  if (edit.json) {
    if (const Result<void> fault = CheckConfigurationEntry(edit.path, *edit.json); !fault) {
      callback(fault.error());
      return;
    }
  }
  const std::string path = edit.path;
  m_desk.Change({against, {std::move(edit)}, std::move(context.change_id), std::move(context.who)},
                [path, format = context.format,
                 callback = std::move(callback)](const Result<ConfigurationRevision>& revision) {
                  if (!revision) {
                    callback(revision.error());
                    return;
                  }
                  callback(ReplyAccepted(path, *revision, format));
                });
}

}  // namespace zinnia
