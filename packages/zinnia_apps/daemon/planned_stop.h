#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace zinnia {

class Daemon;
class Logger;

/** Waits for SIGTERM or SIGINT, then lets everything in flight finish.

    The first signal drains: the instance is not ready any more, new requests are refused as not
   run, answers in flight go on, and a line every second says what it waits for. A second signal, or
   the end of the drain timeout, says what it cuts off and returns.

    The drain lasts at least kLeastDrain, because the balancer notices late: what it still sends is
    refused in words, instead of finding a closed port.
*/
class PlannedStop {
 public:
  PlannedStop(Daemon& daemon, Logger& logger, std::chrono::milliseconds drain_timeout);

  /** Returns when the process may end. */
  void WaitForSignalAndDrain();

 private:
  static constexpr std::chrono::milliseconds kLeastDrain{1'000};

  void OnSignal(int signal);
  void CheckDrained();
  void LogCutOff(const char* cause);

  Daemon& m_daemon;
  Logger& m_logger;
  const std::chrono::milliseconds m_drain_timeout;
  boost::asio::io_context m_loop;
  boost::asio::signal_set m_signals;
  boost::asio::steady_timer m_timer;
  std::chrono::steady_clock::time_point m_drain_began{};
  std::chrono::steady_clock::time_point m_last_told{};
  bool m_draining = false;
};

}  // namespace zinnia
