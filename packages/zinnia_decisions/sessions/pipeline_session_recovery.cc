#include <algorithm>
#include <utility>

#include "zinnia_decisions/sessions/pipeline_session.h"
#include "zinnia_decisions/sessions/recovery_gate.h"

namespace zinnia {
namespace {

/** Limits the load that one failing session puts on the servers. */
constexpr std::uint32_t kMaxRecoveries = 8;

constexpr std::chrono::seconds kRouteWaitTimeout{3};
constexpr std::chrono::milliseconds kRouteRetryInterval{50};
constexpr std::chrono::milliseconds kRetryAfter{2'000};

Error RecoveryFailed(std::string message) {
  Error error = MakeError(ErrorKind::kRecoveryFailed, std::move(message));
  error.retry_after = kRetryAfter;
  return error;
}

bool MayBeAlive(StepStatus cause) {
  return cause == StepStatus::kTimedOut || cause == StepStatus::kOverloaded ||
         cause == StepStatus::kConnectionLost;
}

}  // namespace

void PipelineSession::HandleFailure(const StepAnswer& answer) {
  const std::uint32_t hop = m_relay.Hop();
  const BackendServerName server = m_route.hops[hop].server;
  m_relay.HandleFailedStep(answer);
  RecordFailure(answer);
  if (answer.status == StepStatus::kRejected) {
    Fail(MakeError(ErrorKind::kBackendRejected, "backend server " + server + " refused a step"));
    return;
  }
  // Crashes before the step was sent are not attributed to the request. Otherwise a request whose
  // servers fail together would be quarantined.
  if (answer.status == StepStatus::kServerCrashed && !answer.never_sent) {
    m_crashed_servers.insert(server);
    m_isolated_until_tokens = m_answer.Tokens().size() + 1;
  }
  const auto may_recover = m_parts.recovery_gate.MayRecover(
      m_request, server, answer.status, static_cast<std::uint32_t>(m_crashed_servers.size()));
  if (!may_recover) {
    Fail(may_recover.error());
    return;
  }
  if (m_recoveries == kMaxRecoveries) {
    Fail(RecoveryFailed("the answer was recovered too often"));
    return;
  }
  ++m_recoveries;
  Recover(answer.status, hop);
}

void PipelineSession::RecordFailure(const StepAnswer& answer) {
  const TimePoint now = m_parts.clock.Now();
  m_failure_noticed_at = now;
  if (m_recovery_times) {
    // Failed during a recovery: the time of the partial rebuild is added.
    m_recovery_times->rebuild += m_step_sent_at - m_rebuild_started_at;
  } else {
    m_recovery_times.emplace();
  }
  m_recovery_times->detection += now - m_step_sent_at;
  m_state = SessionState::kRecovering;
  m_records.Write("recover_session", "a step ended with " + std::string(NameOf(answer.status)),
                  {{"hop", std::to_string(m_relay.Hop())},
                   {"server", m_route.hops[m_relay.Hop()].server},
                   {"attempt", std::to_string(m_relay.Attempt())},
                   {"position", std::to_string(m_relay.Position())},
                   {"length", std::to_string(answer.length)},
                   {"known_tokens", std::to_string(m_answer.Tokens().size())}});
}

void PipelineSession::Recover(StepStatus cause, std::uint32_t hop) {
  const BackendServerName server = m_route.hops[hop].server;
  if (MayRetryOn(cause, server)) {
    m_records.Write("keep_route", "the server is alive and repeats the step from its cache",
                    {{"server", server}});
    StartAttempt(m_route);
    return;
  }
  m_routes.Exclude(server);
  const TimePoint now = m_parts.clock.Now();
  m_route_wait_ends = now + kRouteWaitTimeout;
  // Exponential backoff, so that the limited number of recoveries spans a freeze of seconds.
  m_same_server_retry_at = now + kRouteRetryInterval * (1U << (m_recoveries - 1));
  FindReplacementRoute(cause, hop);
}

bool PipelineSession::MayRetryOn(StepStatus cause, const BackendServerName& server) {
  switch (cause) {
    case StepStatus::kConnectionLost:
      // One lost connection per server and answer is tolerated.
      return m_retried_servers.insert(server).second;
    case StepStatus::kWrongLength:
    case StepStatus::kUnknownSession:
      return true;
    default:
      return false;
  }
}

void PipelineSession::FindReplacementRoute(StepStatus cause, std::uint32_t hop) {
  const auto choice = m_routes.Replace(m_route, hop, MakeQuery(), RequiredVersion());
  if (choice) {
    UseReplacement(cause, hop, *choice);
    return;
  }
  const TimePoint now = m_parts.clock.Now();
  const bool is_past_deadline = m_request.deadline && now >= *m_request.deadline;
  const bool may_be_alive = MayBeAlive(cause);
  if (is_past_deadline || (!may_be_alive && now >= m_route_wait_ends)) {
    Fail(RecoveryFailed("no other backend server holds the layers of " + m_route.hops[hop].server));
    return;
  }
  if (may_be_alive && now >= m_same_server_retry_at) {
    m_records.Write("keep_route", "no other server has these layers and this one may live",
                    {{"server", m_route.hops[hop].server}});
    StartAttempt(m_route);
    return;
  }
  m_route_wait =
      m_parts.scheduler.ScheduleAfter(kRouteRetryInterval, [weak = weak_from_this(), cause, hop] {
        const auto self = weak.lock();
        if (self && !self->IsFinished()) {
          self->FindReplacementRoute(cause, hop);
        }
      });
}

void PipelineSession::UseReplacement(StepStatus cause,
                                     std::uint32_t hop,
                                     const RouteChoice& choice) {
  m_records.Write("replace_server", choice.reason,
                  {{"failed", m_route.hops[hop].server}, {"route", Describe(choice.route)}});
  if (cause == StepStatus::kLeaving) {
    TransferCaches(choice.route);
    return;
  }
  StartAttempt(choice.route);
}

void PipelineSession::EndRecovery() {
  if (m_isolated_until_tokens && m_answer.Tokens().size() >= *m_isolated_until_tokens) {
    m_isolated_until_tokens.reset();
    m_relay.SetIsolated(false);
  }
  if (!m_recovery_times) {
    return;
  }
  m_recovery_times->rebuild += m_parts.clock.Now() - m_rebuild_started_at;
  m_records.WriteRecovered(*m_recovery_times, m_relay.Attempt());
  m_recovery_times.reset();
}

}  // namespace zinnia
