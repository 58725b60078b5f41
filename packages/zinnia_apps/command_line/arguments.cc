#include "zinnia_apps/command_line/arguments.h"

// Commands hold commas (JSON). With the default delimiter, cxxopts splits a command at each of them
// and the parser is given a truncated object; '\0' never occurs in an argument.
#define CXXOPTS_VECTOR_DELIMITER '\0'
#include <cxxopts.hpp>

namespace zinnia {
namespace {

cxxopts::Options MakeOptions() {
  cxxopts::Options options("zinnia", "Asks a zinniad what it does and orders changes.\n");
  options.positional_help("'COMMAND' | shell | check FILE | losses FILE...");
  options.add_options()("operators", "the operators' address of any instance",
                        cxxopts::value<std::string>()->default_value("http://127.0.0.1:8081"),
                        "http://IP:PORT")("key-file", "the file with the operators' key",
                                          cxxopts::value<std::string>(), "FILE")(
      "format", "table or json", cxxopts::value<std::string>()->default_value("table"), "FORMAT")(
      "change-id", "send a change again whose answer was lost", cxxopts::value<std::string>(),
      "ID")("first-event-ms", "losses: a first event after this is late",
            cxxopts::value<std::uint32_t>()->default_value("500"),
            "MS")("event-gap-ms", "losses: a longer pause between events is late",
                  cxxopts::value<std::uint32_t>()->default_value("200"), "MS")(
      "h,help", "print this page")("words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  return options;
}

std::string StringOf(const cxxopts::ParseResult& parsed, const char* name) {
  return parsed.count(name) > 0 ? parsed[name].as<std::string>() : std::string();
}

Error UsageError(const std::string& message) {
  Error error = MakeError(ErrorKind::kInvalidCommand, message);
  error.remedy = "see 'zinnia --help'";
  return error;
}

}  // namespace

Result<Arguments> ParseArguments(int argc, const char* const* argv) {
  try {
    cxxopts::Options options = MakeOptions();
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    Arguments arguments;
    arguments.operators_url = parsed["operators"].as<std::string>();
    arguments.key_file = StringOf(parsed, "key-file");
    arguments.change_id = StringOf(parsed, "change-id");
    arguments.objectives = {std::chrono::milliseconds(parsed["first-event-ms"].as<std::uint32_t>()),
                            std::chrono::milliseconds(parsed["event-gap-ms"].as<std::uint32_t>())};
    arguments.wants_help = parsed.count("help") > 0;
    if (parsed.count("words") > 0) {
      arguments.words = parsed["words"].as<std::vector<std::string>>();
    }
    const auto format = OutputFormatFromName(parsed["format"].as<std::string>());
    if (!format) {
      return UsageError("--format must be table or json");
    }
    arguments.format = *format;
    return arguments;
  } catch (const std::exception& exception) {
    return UsageError(exception.what());
  }
}

std::string Usage() {
  return MakeOptions().help({""}) +
         "\nzinnia 'COMMAND' runs one command; 'zinnia help' lists the language.\n"
         "zinnia shell reads commands from the terminal.\n"
         "zinnia check FILE prints every fault of a settings file of zinniad.\n"
         "zinnia losses FILE... says from logs of zinniad when requests were lost, and why.\n"
         "Exit codes: 0 done, 1 refused or failed, 2 wrong usage.\n";
}

}  // namespace zinnia
