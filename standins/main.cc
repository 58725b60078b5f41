#include <boost/asio.hpp>
#include <cstdint>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>

#include "engine.h"
#include "http_server.h"
#include "platform_standins.h"

namespace zinnia::standins {
namespace {

constexpr const char* kEmptyList = R"({"servers":[],"instances":[]})";

cxxopts::Options OptionsOfProgram() {
  cxxopts::Options options("zinnia_standin", "Plays an outside system for tests, on loopback.");
  // clang-format off
  options.add_options()
      ("kind", "engine, service, store, list or weights", cxxopts::value<std::string>())
      ("port", "0 picks a free one", cxxopts::value<std::uint16_t>()->default_value("0"))
      ("name", "shown in process lists only", cxxopts::value<std::string>()->default_value(""))
      ("model", "engine: model held", cxxopts::value<std::string>()->default_value("zinnia"))
      ("version", "engine: its version", cxxopts::value<std::string>()->default_value("1"))
      ("first-layer", "engine", cxxopts::value<std::uint32_t>()->default_value("0"))
      ("end-layer", "engine", cxxopts::value<std::uint32_t>()->default_value("12"))
      ("no-layers", "engine: starts with nothing loaded")
      ("checks-fencing", "engine: refuses orders with an old epoch")
      ("step-us", "engine: time per batch", cxxopts::value<std::int64_t>()->default_value("0"))
      ("token-us", "engine: time per position of a prefill",
       cxxopts::value<std::int64_t>()->default_value("0"))
      ("state-bytes", "engine: size of a hidden state", cxxopts::value<std::size_t>()->default_value("24"))
      ("answer-tokens", "engine: tokens of an answer, the end token included; 0: 8 to 48 by hash",
       cxxopts::value<std::uint32_t>()->default_value("0"))
      ("max-queued", "engine: steps that may wait", cxxopts::value<std::size_t>()->default_value("8192"))
      ("prefix-blocks", "engine: prefix blocks kept", cxxopts::value<std::size_t>()->default_value("256"))
      ("event-lag-ms", "engine: lateness of cache events", cxxopts::value<std::int64_t>()->default_value("200"))
      ("weights", "engine: HOST:PORT of the weight store", cxxopts::value<std::string>()->default_value(""))
      ("load-ms", "engine: time of a load without weight store",
       cxxopts::value<std::int64_t>()->default_value("0"))
      ("crash-on", "engine: text of a prompt that ends the process",
       cxxopts::value<std::string>()->default_value(""))
      ("file", "list: JSON file with the first list", cxxopts::value<std::string>()->default_value(""))
      ("bytes-per-second", "weights", cxxopts::value<std::uint64_t>()->default_value("100000000"))
      ("bytes-per-layer", "weights", cxxopts::value<std::uint64_t>()->default_value("1000000"))
      ("help", "shows this text");
  // clang-format on
  options.parse_positional({"kind"});
  options.positional_help("engine|service|store|list|weights");
  return options;
}

EngineSettings EngineSettingsOf(const cxxopts::ParseResult& options) {
  EngineSettings settings;
  if (options.count("no-layers") == 0) {
    settings.loaded = Loaded{
        options["model"].as<std::string>(),
        options["version"].as<std::string>(),
        {options["first-layer"].as<std::uint32_t>(), options["end-layer"].as<std::uint32_t>()}};
  }
  settings.steps = {
      .state_bytes = options["state-bytes"].as<std::size_t>(),
      .answer_tokens = options["answer-tokens"].as<std::uint32_t>(),
      .prefix_blocks = options["prefix-blocks"].as<std::size_t>(),
      .event_lag = std::chrono::milliseconds(options["event-lag-ms"].as<std::int64_t>()),
      .crash_on = options["crash-on"].as<std::string>()};
  settings.loader = {.checks_fencing = options.count("checks-fencing") > 0,
                     .weights = options["weights"].as<std::string>(),
                     .load_time = std::chrono::milliseconds(options["load-ms"].as<std::int64_t>())};
  settings.batch_time = std::chrono::microseconds(options["step-us"].as<std::int64_t>());
  settings.position_time = std::chrono::microseconds(options["token-us"].as<std::int64_t>());
  settings.longest_queue = options["max-queued"].as<std::size_t>();
  return settings;
}

std::string FirstListOf(const cxxopts::ParseResult& options) {
  const std::string path = options["file"].as<std::string>();
  if (path.empty()) {
    return kEmptyList;
  }
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::unique_ptr<Standin> Make(const cxxopts::ParseResult& options,
                              boost::asio::io_context& context) {
  const std::string kind = options["kind"].as<std::string>();
  if (kind == "engine") {
    return std::make_unique<Engine>(context, EngineSettingsOf(options));
  }
  if (kind == "service") {
    return MakePlainService();
  }
  if (kind == "store") {
    return MakeStore(context);
  }
  if (kind == "list") {
    return MakeInstanceList(context, FirstListOf(options));
  }
  if (kind == "weights") {
    return MakeWeightStore(context, options["bytes-per-second"].as<std::uint64_t>(),
                           options["bytes-per-layer"].as<std::uint64_t>());
  }
  throw std::invalid_argument("unknown kind \"" + kind + "\": see --help");
}

int Run(int argc, char** argv) {
  cxxopts::Options options = OptionsOfProgram();
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0 || parsed.count("kind") == 0) {
    std::cout << options.help() << std::endl;
    return parsed.count("help") > 0 ? 0 : 2;
  }
  boost::asio::io_context context(1);
  const std::unique_ptr<Standin> standin = Make(parsed, context);
  HttpServer server(context, parsed["port"].as<std::uint16_t>(), *standin);
  server.Start();
  std::cout << "listening=127.0.0.1:" << server.Port() << std::endl;
  context.run();
  return 0;
}

}  // namespace
}  // namespace zinnia::standins

int main(int argc, char** argv) {
  try {
    return zinnia::standins::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "error=\"" << error.what() << "\"" << std::endl;
    return 1;
  }
}
