#include <fmt/format.h>
#include <fmt/ranges.h>

#include <random>

#include "zinnia_adapters/operators/help_text.h"
#include "zinnia_adapters/operators/operator_client.h"
#include "zinnia_adapters/settings/text_file.h"
#include "zinnia_apps/command_line/arguments.h"
#include "zinnia_apps/command_line/command_runner.h"
#include "zinnia_apps/command_line/log_losses.h"
#include "zinnia_apps/command_line/report_error.h"
#include "zinnia_apps/command_line/settings_check.h"
#include "zinnia_apps/command_line/shell.h"

namespace zinnia {
namespace {

ExitCode RunAgainstInstance(const Arguments& arguments) {
  if (arguments.key_file.empty()) {
    Error error = MakeError(ErrorKind::kInvalidCommand, "--key-file is missing");
    error.remedy = "name the file with the operators' key";
    return ReportError(error);
  }
  const Result<std::string> key = ReadSecretFile("--key-file", arguments.key_file);
  if (!key) {
    return ReportError(key.error());
  }
  const Result<OperatorClient> client = OperatorClient::Create(arguments.operators_url, *key);
  if (!client) {
    return ReportError(client.error());
  }
  CommandRunner runner(*client, arguments.format, RandomSource(std::random_device{}()));
  if (arguments.words.front() == "shell") {
    return RunShell(runner);
  }
  return runner.Run(fmt::format("{}", fmt::join(arguments.words, " ")), arguments.change_id);
}

ExitCode Run(int argc, const char* const* argv) {
  const Result<Arguments> arguments = ParseArguments(argc, argv);
  if (!arguments) {
    return ReportError(arguments.error());
  }
  if (arguments->wants_help) {
    fmt::print("{}", Usage());
    return ExitCode::kDone;
  }
  if (arguments->words.empty()) {
    fmt::print(stderr, "{}", Usage());
    return ExitCode::kWrongUsage;
  }
  if (arguments->words == std::vector<std::string>{"help"}) {
    fmt::print("{}", HelpText());
    return ExitCode::kDone;
  }
  if (arguments->words.front() == "losses") {
    return PrintLogLosses({arguments->words.begin() + 1, arguments->words.end()},
                          arguments->objectives);
  }
  if (arguments->words.front() != "check") {
    return RunAgainstInstance(*arguments);
  }
  if (arguments->words.size() != 2) {
    Error error = MakeError(ErrorKind::kInvalidCommand, "check takes one file");
    error.remedy = "write 'zinnia check FILE'";
    return ReportError(error);
  }
  return CheckSettingsFile(arguments->words.back());
}

}  // namespace
}  // namespace zinnia

int main(int argc, char** argv) {
  return static_cast<int>(zinnia::Run(argc, argv));
}
