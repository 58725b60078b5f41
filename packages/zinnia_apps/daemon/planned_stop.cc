#include "planned_stop.h"

#include <csignal>
#include <string>
#include <vector>

#include "daemon.h"
#include "zinnia_base/logging/logger.h"

namespace zinnia {
namespace {

constexpr std::chrono::milliseconds kCheckInterval{50};
constexpr std::chrono::seconds kTellInterval{1};
constexpr std::size_t kMostLinesTold = 20;

}  // namespace

PlannedStop::PlannedStop(Daemon& daemon, Logger& logger, std::chrono::milliseconds drain_timeout)
    : m_daemon(daemon),
      m_logger(logger),
      m_drain_timeout(drain_timeout),
      m_signals(m_loop, SIGTERM, SIGINT),
      m_timer(m_loop) {}

void PlannedStop::WaitForSignalAndDrain() {
  m_signals.async_wait([this](const auto& error, int signal) {
    if (!error) {
      OnSignal(signal);
    }
  });
  m_loop.run();
}

void PlannedStop::OnSignal(int signal) {
  if (m_draining) {
    LogCutOff("second_signal");
    m_loop.stop();
    return;
  }
  m_draining = true;
  m_drain_began = std::chrono::steady_clock::now();
  m_logger.Log(LogLevel::kInfo, "drain_began", {{"signal", std::to_string(signal)}});
  m_daemon.BeginDrain();
  m_signals.async_wait([this](const auto& error, int next_signal) {
    if (!error) {
      OnSignal(next_signal);
    }
  });
  CheckDrained();
}

void PlannedStop::CheckDrained() {
  const auto now = std::chrono::steady_clock::now();
  const std::vector<std::string> in_flight = m_daemon.InFlight();
  if (in_flight.empty() && now - m_drain_began >= kLeastDrain) {
    m_logger.Log(LogLevel::kInfo, "drained", {});
    m_loop.stop();
    return;
  }
  if (now - m_drain_began >= m_drain_timeout) {
    LogCutOff("drain_timeout");
    m_loop.stop();
    return;
  }
  if (!in_flight.empty() && now - m_last_told >= kTellInterval) {
    m_last_told = now;
    m_logger.Log(LogLevel::kInfo, "drain_waits",
                 {{"in_flight", std::to_string(in_flight.size())}, {"first", in_flight.front()}});
  }
  m_timer.expires_after(kCheckInterval);
  m_timer.async_wait([this](const auto& error) {
    if (!error) {
      CheckDrained();
    }
  });
}

void PlannedStop::LogCutOff(const char* cause) {
  const std::vector<std::string> in_flight = m_daemon.InFlight();
  m_logger.Log(LogLevel::kWarning, "cuts_off",
               {{"cause", cause}, {"in_flight", std::to_string(in_flight.size())}});
  for (std::size_t index = 0; index < in_flight.size() && index < kMostLinesTold; ++index) {
    m_logger.Log(LogLevel::kWarning, "cut_off", {{"request", in_flight[index]}});
  }
}

}  // namespace zinnia
