#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "zinnia_decisions/forwarding/crashes/broken_attempts.h"
#include "zinnia_decisions/forwarding/crashes/released_attempts.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

class Clock;
class Logger;
class Metrics;
class ReachabilityWatch;

/** Finds out whether a server at which an answer broke off has crashed, and logs which requests
    were in flight at it. A server has crashed if it refuses connections while another one accepts
    them: refused by all, this instance has lost its own links. Belongs to a traffic thread. */
class CrashWatch {
 public:
  /** Receives the attempts in flight at a server that has crashed. */
  using OnCrash = std::function<void(const std::vector<BrokenAttempt>&)>;

  /** All references must outlive this object. */
  CrashWatch(boost::asio::io_context& loop,
             const Clock& clock,
             Logger& logger,
             Metrics& metrics,
             ReachabilityWatch& reachability,
             OnCrash on_crash);
  ~CrashWatch();

  /** An answer broke off. Probes the server unless that is under way. */
  void OnAnswerBroken(const BrokenAttempt& attempt, const NetworkAddress& server_address);

  /** This instance closed the connection of an attempt that was not answered yet. Probes its server
     a little later if the request was let go of before. */
  void OnAttemptReleased(const BrokenAttempt& attempt);

  /** The server refused the connection of a request. */
  void OnConnectionRefused(const BackendServerName& server);

  const BrokenAttempts& Attempts() const { return m_attempts; }

 private:
  void Probe(const BackendServerName& server, const NetworkAddress& address, Duration delay);
  void Report(const std::vector<BrokenAttempt>& attempts);
  void Log(const std::vector<BrokenAttempt>& attempts, std::string_view server_state);

  boost::asio::io_context& m_loop;
  Logger& m_logger;
  Metrics& m_metrics;
  ReachabilityWatch& m_reachability;
  const OnCrash m_on_crash;
  BrokenAttempts m_attempts;
  ReleasedAttempts m_released;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
