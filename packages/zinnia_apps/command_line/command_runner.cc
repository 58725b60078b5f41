#include "zinnia_apps/command_line/command_runner.h"

#include <fmt/format.h>

#include <cstdio>
#include <utility>

#include "zinnia_adapters/language/command_parser.h"
#include "zinnia_apps/command_line/report_error.h"

namespace zinnia {
namespace {

/** Whether the command changes the configuration and does not say against which revision. */
bool NeedsRevision(const Command& command) {
  return std::visit(
      [](const auto& specific) {
        if constexpr (requires { specific.against; }) {
          return !specific.against.has_value();
        } else {
          return false;
        }
      },
      command);
}

}  // namespace

CommandRunner::CommandRunner(OperatorClient client, OutputFormat format, RandomSource random)
    : m_client(std::move(client)), m_format(format), m_random(random) {}

ExitCode CommandRunner::Run(const std::string& command, std::string change_id) {
  const Result<std::string> complete = AddRevision(command);
  if (!complete) {
    return ReportError(complete.error());
  }
  if (change_id.empty()) {
    change_id = fmt::format("zinnia-{:016x}", m_random());
  }
  const Result<std::string> answer = m_client.RunCommand(*complete, m_format, change_id);
  if (!answer) {
    if (answer.error().was_run == WasRun::kUnknown) {
      fmt::print(stderr, "change id: {}\n", change_id);
    }
    return ReportError(answer.error());
  }
  fmt::print("{}", *answer);
  std::fflush(stdout);
  return ExitCode::kDone;
}

Result<std::string> CommandRunner::AddRevision(const std::string& command) const {
  const Result<Command> parsed = ParseCommand(command);
  if (!parsed) {
    return parsed.error();
  }
  if (!NeedsRevision(*parsed)) {
    return command;
  }
  const Result<ConfigurationRevision> revision = m_client.ReadRevision();
  if (!revision) {
    return revision.error();
  }
  fmt::print(stderr, "against revision {}\n", *revision);
  return fmt::format("{} against {}", command, *revision);
}

}  // namespace zinnia
