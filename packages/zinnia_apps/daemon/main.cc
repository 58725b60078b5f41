#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cxxopts.hpp>

#include "daemon.h"
#include "forwarding_run.h"
#include "planned_stop.h"
#include "zinnia_base/logging/standard_error_logger.h"
#include "zinnia_base/time/system_clock.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

int Run(const std::string& settings_file) {
  zinnia::SystemClock clock;
  const auto settings = zinnia::InstanceSettings::Load(settings_file);
  if (!settings) {
    fmt::print(stderr, "level=error event=start_failed reason=\"{}\"\n",
               zinnia::Describe(settings.error()));
    return kExitFailed;
  }
  zinnia::StandardErrorLogger logger(clock, settings->instance, settings->log_level);
  auto daemon = zinnia::Daemon::Create(*settings, clock, logger);
  if (!daemon) {
    logger.Log(zinnia::LogLevel::kError, "start_failed",
               {{"reason", zinnia::Describe(daemon.error())}});
    return kExitFailed;
  }
  logger.Log(zinnia::LogLevel::kInfo, "started",
             {{"callers", settings->callers_address.ToString()},
              {"operators", settings->operators_address.ToString()},
              {"peers", settings->peer_address.ToString()}});
  zinnia::PlannedStop stop(**daemon, logger, settings->drain_timeout);
  stop.WaitForSignalAndDrain();
  (*daemon)->Stop();
  logger.Log(zinnia::LogLevel::kInfo, "stopped", {});
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("zinniad",
                           "Routes model pipelines and plain services; one process an "
                           "entry instance.");
  options.add_options()("s,settings", "settings file (JSON)", cxxopts::value<std::string>())(
      "forwarding-settings",
      "settings file (JSON) of an instance that forwards by the platform's store",
      cxxopts::value<std::string>())("h,help", "show this text");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      fmt::print("{}\n", options.help());
      return kExitOk;
    }
    if (arguments.count("forwarding-settings") > 0) {
      return zinnia::RunForwarding(arguments["forwarding-settings"].as<std::string>());
    }
    if (arguments.count("settings") == 0) {
      fmt::print(stderr, "zinniad: --settings FILE is missing; see --help\n");
      return kExitUsage;
    }
    return Run(arguments["settings"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& exception) {
    fmt::print(stderr, "zinniad: {}; see --help\n", exception.what());
    return kExitUsage;
  }
}
