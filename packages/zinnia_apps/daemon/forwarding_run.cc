#include "forwarding_run.h"

#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>

#include "forwarding_daemon.h"
#include "zinnia_base/logging/standard_output_logger.h"
#include "zinnia_base/time/system_clock.h"

namespace zinnia {
namespace {

using std::chrono::milliseconds;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;

/** The platform asks once a second whether an instance is ready and takes it out after two misses;
    until then new connections come and must be served. */
constexpr milliseconds kServeAfterTerm{2'700};

/** How long before the platform's kill all that is left gets its final answer, and how long before
   it the instance ends by itself even if some of these answers have not left yet. */
constexpr milliseconds kAnswerBeforeKill{600};
constexpr milliseconds kEndBeforeKill{300};

constexpr milliseconds kCheckInterval{100};

/** Settings may change without a signal. */
constexpr milliseconds kSettingsInterval{2'000};

/** The life of one instance after its start: signals, changed settings, planned stop. */
class Lifecycle {
 public:
  Lifecycle(ForwardingDaemon& daemon,
            StandardOutputLogger& logger,
            std::string settings_file,
            const ForwardingSettings& settings)
      : m_daemon(daemon),
        m_logger(logger),
        m_settings_file(std::move(settings_file)),
        m_grace(settings.stop_grace),
        m_signals(m_loop, SIGTERM, SIGINT, SIGHUP),
        m_drain_timer(m_loop),
        m_settings_timer(m_loop) {}

  void Run() {
    WaitForSignal();
    CheckSettingsLater();
    m_loop.run();
  }

 private:
  void WaitForSignal();
  void OnSignal(int signal);
  void BeginDrain(int signal);
  void CheckDrained();
  void CheckSettingsLater();
  void Reload(const char* cause);

  ForwardingDaemon& m_daemon;
  StandardOutputLogger& m_logger;
  const std::string m_settings_file;
  const milliseconds m_grace;
  boost::asio::io_context m_loop{1};
  boost::asio::signal_set m_signals;
  boost::asio::steady_timer m_drain_timer;
  boost::asio::steady_timer m_settings_timer;
  std::chrono::steady_clock::time_point m_drain_began{};
  bool m_draining = false;
  bool m_accepting = true;
  bool m_rest_answered = false;
};

void Lifecycle::WaitForSignal() {
  m_signals.async_wait([this](const auto& error, int signal) {
    if (!error) {
      OnSignal(signal);
    }
  });
}

void Lifecycle::OnSignal(int signal) {
  WaitForSignal();
  if (signal == SIGHUP) {
    Reload("signal");
  } else if (!m_draining) {
    BeginDrain(signal);
  }
}

void Lifecycle::BeginDrain(int signal) {
  m_draining = true;
  m_drain_began = std::chrono::steady_clock::now();
  m_logger.Log(LogLevel::kInfo, "drain_began", {{"signal", std::to_string(signal)}});
  m_daemon.BeginDrain();
  CheckDrained();
}

void Lifecycle::CheckDrained() {
  const auto passed = std::chrono::steady_clock::now() - m_drain_began;
  if (passed >= kServeAfterTerm && m_accepting) {
    m_accepting = false;
    m_daemon.StopAccepting(m_grace - kAnswerBeforeKill - passed);
  }
  if (!m_accepting) {
    const std::vector<std::string> in_flight = m_daemon.InFlight();
    if (in_flight.empty() || passed >= m_grace - kEndBeforeKill) {
      m_logger.Log(LogLevel::kInfo, "drained", {{"cut_off", std::to_string(in_flight.size())}});
      m_loop.stop();
      return;
    }
    if (!m_rest_answered && passed >= m_grace - kAnswerBeforeKill) {
      m_logger.Log(LogLevel::kWarning, "drain_out_of_time",
                   {{"requests", std::to_string(in_flight.size())}, {"first", in_flight.front()}});
      m_daemon.AnswerRest();
      m_rest_answered = true;
    }
  }
  m_drain_timer.expires_after(kCheckInterval);
  m_drain_timer.async_wait([this](const auto& error) {
    if (!error) {
      CheckDrained();
    }
  });
}

void Lifecycle::CheckSettingsLater() {
  m_settings_timer.expires_after(kSettingsInterval);
  m_settings_timer.async_wait([this](const auto& error) {
    if (!error) {
      Reload("interval");
      CheckSettingsLater();
    }
  });
}

void Lifecycle::Reload(const char* cause) {
  const auto settings = ForwardingSettings::Load(m_settings_file);
  if (!settings) {
    m_logger.Log(LogLevel::kWarning, "reload_failed",
                 {{"cause", cause}, {"reason", Describe(settings.error())}});
    return;
  }
  if (std::string_view(cause) == "signal") {
    m_logger.Log(LogLevel::kInfo, "reloaded", {{"cause", cause}});
  }
  m_daemon.Reload(*settings);
}

}  // namespace

int RunForwarding(const std::string& settings_file) {
  std::signal(SIGPIPE, SIG_IGN);
  SystemClock clock;
  const auto settings = ForwardingSettings::Load(settings_file);
  if (!settings) {
    fmt::print("level=error event=start_failed reason=\"{}\"\n", Describe(settings.error()));
    return kExitFailed;
  }
  StandardOutputLogger logger(clock, settings->instance, settings->log_level, STDOUT_FILENO);
  auto daemon = ForwardingDaemon::Create(*settings, clock, logger);
  if (!daemon) {
    logger.Log(LogLevel::kError, "start_failed", {{"reason", Describe(daemon.error())}});
    return kExitFailed;
  }
  logger.Log(LogLevel::kInfo, "started",
             {{"callers", settings->callers_address.ToString()},
              {"readiness", settings->readiness_address.ToString()},
              {"peers", settings->peer_address.ToString()},
              {"store", settings->store_address.ToString()}});
  Lifecycle lifecycle(**daemon, logger, settings_file, *settings);
  lifecycle.Run();
  (*daemon)->Stop();
  logger.Log(LogLevel::kInfo, "stopped", {});
  return kExitOk;
}

}  // namespace zinnia
