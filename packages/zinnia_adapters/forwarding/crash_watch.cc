#include "zinnia_adapters/forwarding/crash_watch.h"

#include <utility>

#include "zinnia_adapters/forwarding/connection_probe.h"
#include "zinnia_adapters/forwarding/log_text.h"
#include "zinnia_adapters/forwarding/reachability_watch.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/once/alive_guard.h"
#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {
namespace {

/** A process that is being killed still accepts connections for a moment. */
constexpr Duration kProbeDelay = std::chrono::milliseconds(30);

/** What an attempt does to its server after it was let go of shows within this time. */
constexpr Duration kReleasedProbeDelay = std::chrono::milliseconds(300);

/** Shorter than any restart of a server. */
constexpr Duration kProbeLimit = std::chrono::milliseconds(250);

}  // namespace

CrashWatch::CrashWatch(boost::asio::io_context& loop,
                       const Clock& clock,
                       Logger& logger,
                       Metrics& metrics,
                       ReachabilityWatch& reachability,
                       OnCrash on_crash)
    : m_loop(loop),
      m_logger(logger),
      m_metrics(metrics),
      m_reachability(reachability),
      m_on_crash(std::move(on_crash)),
      m_attempts(clock),
      m_released(clock) {}

CrashWatch::~CrashWatch() = default;

void CrashWatch::OnAnswerBroken(const BrokenAttempt& attempt,
                                const NetworkAddress& server_address) {
  switch (m_attempts.Add(attempt)) {
    case ServerCheck::kProbeIt:
      Probe(attempt.server, server_address, kProbeDelay);
      return;
    case ServerCheck::kAwaitsProbe:
      return;
    case ServerCheck::kHasCrashed:
      Report({attempt});
      return;
  }
}

void CrashWatch::OnConnectionRefused(const BackendServerName& server) {
  if (!m_attempts.HasPending(server)) {
    return;
  }
  m_reachability.OnConnectFailed(server);
  m_reachability.Confirm(WhileAlive(m_alive, [this, server](bool reaches_servers) {
    if (reaches_servers) {
      Report(m_attempts.OnConnectionRefused(server));
    } else {
      Log(m_attempts.OnNoCrash(server), "unreachable");
    }
  }));
}

void CrashWatch::OnAttemptReleased(const BrokenAttempt& attempt) {
  for (const BrokenAttempt& released : m_released.Add(attempt)) {
    if (m_attempts.Add(released) == ServerCheck::kProbeIt) {
      Probe(released.server, released.server_address, kReleasedProbeDelay);
    }
  }
}

void CrashWatch::Probe(const BackendServerName& server,
                       const NetworkAddress& address,
                       Duration delay) {
  ProbeConnection(m_loop, address, delay, kProbeLimit,
                  WhileAlive(m_alive, [this, server](ConnectionProbeResult result) {
                    if (result == ConnectionProbeResult::kRefused) {
                      OnConnectionRefused(server);
                      return;
                    }
                    const bool accepted = result == ConnectionProbeResult::kAccepted;
                    if (accepted) {
                      m_reachability.OnConnected();
                    } else {
                      m_reachability.OnConnectFailed(server);
                    }
                    Log(m_attempts.OnNoCrash(server), accepted ? "alive" : "unreachable");
                  }));
}

void CrashWatch::Report(const std::vector<BrokenAttempt>& attempts) {
  if (attempts.empty()) {
    return;
  }
  m_metrics.Count("attempts_at_server_crashes", attempts.size());
  Log(attempts, "crashed");
  m_on_crash(attempts);
}

void CrashWatch::Log(const std::vector<BrokenAttempt>& attempts, std::string_view server_state) {
  for (const BrokenAttempt& attempt : attempts) {
    m_logger.Log(LogLevel::kInfo, "answer_broken",
                 {{"request", attempt.request_id},
                  {"fingerprint", attempt.request.ToHex()},
                  {"server", attempt.server},
                  {"server_state", std::string(server_state)},
                  {"onset", std::string(NameOf(attempt.onset))},
                  {"ran_ms", Milliseconds(attempt.ran)},
                  {"in_flight_ms", Milliseconds(attempt.broken_at - attempt.sent_at)},
                  {"in_flight", std::to_string(attempts.size())}});
  }
}

}  // namespace zinnia
