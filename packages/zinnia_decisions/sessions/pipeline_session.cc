#include "zinnia_decisions/sessions/pipeline_session.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "zinnia_decisions/ports/snapshot_source.h"
#include "zinnia_decisions/sessions/answer_listener.h"
#include "zinnia_decisions/sessions/attempt_numbers.h"
#include "zinnia_decisions/sessions/recovery_gate.h"

namespace zinnia {
namespace {

constexpr std::chrono::minutes kResumeValidity{15};
constexpr std::chrono::seconds kStepWatchdogTimeout{60};
constexpr std::chrono::milliseconds kRetryAfter{2'000};

}  // namespace

PipelineSession::PipelineSession(const SessionParts& parts,
                                 SessionName session,
                                 ChatRequest request,
                                 std::optional<ResumePoint> resume,
                                 std::weak_ptr<AnswerListener> listener)
    : m_parts(parts),
      m_session(std::move(session)),
      m_request(std::move(request)),
      m_resume(std::move(resume)),
      m_listener(std::move(listener)),
      m_records(parts.clock, parts.recorder, m_session),
      m_routes(parts.chooser, parts.snapshots),
      m_answer(m_request.max_tokens, m_resume ? &*m_resume : nullptr),
      m_relay(parts.links, m_session, m_request, m_answer),
      m_next_attempt(AttemptNumbers::kFirst) {
  m_point.session = m_session;
  m_point.organisation = m_request.organisation;
  m_point.request = m_request.fingerprint;
  m_point.seed = m_request.seed;
}

void PipelineSession::Start() {
  assert(m_state == SessionState::kWaiting);
  m_started_at = m_parts.clock.Now();
  if (m_resume) {
    m_was_run = WasRun::kYes;
  }
  if (const auto may_start = m_parts.recovery_gate.MayStart(m_request); !may_start) {
    Fail(may_start.error());
    return;
  }
  ScheduleStepWatchdog();
  if (m_resume) {
    StartResume();
    return;
  }
  auto choice = m_routes.Choose(MakeQuery(), RequiredVersion());
  if (!choice) {
    Error error = choice.error();
    error.retry_after = error.retry_after.value_or(kRetryAfter);
    Fail(std::move(error));
    return;
  }
  StartOn(std::move(*choice));
}

void PipelineSession::Cancel() {
  if (IsFinished()) {
    return;
  }
  m_records.Write("cancel_session", "the caller is gone",
                  {{"delivered_tokens", std::to_string(m_answer.DeliveredTokens())}});
  m_state = SessionState::kFailed;
  ReleaseRoute();
}

SessionStatus PipelineSession::Status() const {
  return {.session = m_session,
          .request_id = m_request.request_id,
          .organisation = m_request.organisation,
          .model = m_request.model,
          .state = m_state,
          .route = m_route,
          .attempt = m_relay.Attempt(),
          .prompt_tokens = m_answer.PromptTokens().value_or(0),
          .delivered_tokens = m_answer.DeliveredTokens(),
          .recoveries = m_recoveries,
          .started_at = m_started_at};
}

void PipelineSession::OnStepAnswer(std::uint32_t hop, StepAnswer answer) {
  if (IsFinished()) {
    return;
  }
  const StepStatus status = answer.status;
  switch (m_relay.HandleAnswer(hop, answer)) {
    case StepRelay::Progress::kStale:
      return;
    case StepRelay::Progress::kNextHop:
      UpdateWasRun(status);
      if (!m_answer.PromptTokens()) {
        m_answer.SetPromptTokens(answer.prompt_tokens);
      }
      m_step_sent_at = m_parts.clock.Now();
      m_relay.SendToNextHop(std::move(answer), weak_from_this());
      return;
    case StepRelay::Progress::kToken:
      UpdateWasRun(status);
      if (!m_answer.PromptTokens()) {
        m_answer.SetPromptTokens(answer.prompt_tokens);
      }
      HandleToken(*answer.token);
      return;
    case StepRelay::Progress::kFailed:
      UpdateWasRun(status);
      HandleFailure(answer);
      return;
  }
}

bool PipelineSession::IsFinished() const {
  return m_state == SessionState::kDone || m_state == SessionState::kFailed;
}

void PipelineSession::StartOn(RouteChoice choice) {
  m_records.Write("choose_pipeline", choice.reason,
                  {{"pipeline", choice.route.pipeline},
                   {"version", choice.route.version},
                   {"route", Describe(choice.route)}});
  StartAttempt(choice.route);
}

void PipelineSession::StartAttempt(const Route& route) {
  SwitchRoute(route);
  if (m_answer.Tokens().empty()) {
    m_answer.ResetPromptTokens();
  }
  m_relay.StartAttempt(m_next_attempt++, m_route);
  m_relay.SetIsolated(m_isolated_until_tokens.has_value());
  m_point.attempt = m_relay.Attempt();
  m_state = m_recovery_times ? SessionState::kRecovering
            : m_resume       ? SessionState::kResuming
                             : SessionState::kPrefilling;
  m_rebuild_started_at = m_parts.clock.Now();
  if (m_recovery_times) {
    m_recovery_times->choice += m_rebuild_started_at - m_failure_noticed_at;
  }
  if (m_relay.Attempt() != AttemptNumbers::kFirst) {
    m_records.Write("start_attempt", "hops without a usable cache are replayed, the others adopt",
                    {{"attempt", std::to_string(m_relay.Attempt())},
                     {"hops_replayed", std::to_string(m_relay.HopsReplayed())},
                     {"known_tokens", std::to_string(m_answer.Tokens().size())},
                     {"route", Describe(m_route)}});
  }
  StartPass();
}

void PipelineSession::StartPass() {
  m_step_sent_at = m_parts.clock.Now();
  m_relay.StartPass(weak_from_this());
}

void PipelineSession::HandleToken(const SampledToken& token) {
  if (!AddToken(token)) {
    return;
  }
  EndRecovery();
  m_state = SessionState::kDecoding;
  if (m_answer.IsComplete()) {
    Finish();
  } else if (m_leave_requested) {
    MoveOffLeavingServers();
  } else {
    StartPass();
  }
}

bool PipelineSession::AddToken(const SampledToken& token) {
  switch (m_answer.Add(token)) {
    case GeneratedAnswer::Verdict::kDeliver:
      Deliver(token);
      break;
    case GeneratedAnswer::Verdict::kWithhold:
      break;
    case GeneratedAnswer::Verdict::kDiverged:
      Fail(MakeError(ErrorKind::kResumeDiverged,
                     "the regenerated answer differs from what was delivered"));
      break;
  }
  return !IsFinished();
}

void PipelineSession::Deliver(const SampledToken& token) {
  const auto listener = m_listener.lock();
  if (!listener) {
    Cancel();
    return;
  }
  m_point.delivered_tokens = m_answer.DeliveredTokens();
  m_point.delivered_hash = m_answer.DeliveredHash();
  const auto expiry = m_parts.clock.WallNow().time_since_epoch() + kResumeValidity;
  m_point.expires_at_unix_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(expiry).count();
  listener->OnAnswerToken(token, m_parts.resume_tokens.Seal(m_point));
}

void PipelineSession::Finish() {
  m_state = SessionState::kDone;
  ReleaseRoute();
  if (const auto listener = m_listener.lock()) {
    listener->OnAnswerDone({.prompt_tokens = m_answer.PromptTokens().value_or(0),
                            .answer_tokens = static_cast<std::uint32_t>(m_answer.Tokens().size()),
                            .recoveries = m_recoveries});
  }
}

void PipelineSession::ScheduleStepWatchdog() {
  // StageLinks answers every step. This watchdog turns a step that is never answered because of a
  // defect into a timeout, so that the session does not hang.
  m_step_watchdog =
      m_parts.scheduler.ScheduleAfter(kStepWatchdogTimeout, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->IsFinished()) {
          return;
        }
        const bool silent =
            self->m_parts.clock.Now() - self->m_step_sent_at >= kStepWatchdogTimeout;
        if (silent && self->m_relay.IsInFlight()) {
          self->OnStepAnswer(self->m_relay.Hop(),
                             {.status = StepStatus::kTimedOut, .attempt = self->m_relay.Attempt()});
        }
        if (!self->IsFinished()) {
          self->ScheduleStepWatchdog();
        }
      });
}

void PipelineSession::UpdateWasRun(StepStatus status) {
  const bool maybe_run = status == StepStatus::kTimedOut || status == StepStatus::kConnectionLost ||
                         status == StepStatus::kServerCrashed;
  if (status == StepStatus::kDone) {
    m_was_run = WasRun::kYes;
  } else if (maybe_run && m_was_run == WasRun::kNo) {
    m_was_run = WasRun::kUnknown;
  }
}

void PipelineSession::Fail(Error error) {
  // An unanswered step may have been executed.
  const bool maybe_run = m_relay.IsInFlight() && m_was_run == WasRun::kNo;
  error.was_run = maybe_run ? WasRun::kUnknown : m_was_run;
  m_records.Write("fail_session", error.message,
                  {{"kind", std::string(NameOf(error.kind))},
                   {"was_run", std::string(NameOf(error.was_run))},
                   {"delivered_tokens", std::to_string(m_answer.DeliveredTokens())}});
  m_state = SessionState::kFailed;
  ReleaseRoute();
  if (const auto listener = m_listener.lock()) {
    listener->OnAnswerFailed(error);
  }
}

RouteQuery PipelineSession::MakeQuery() const {
  // The engines tokenise, so the token count is an estimate until the first prefill.
  constexpr std::size_t kTypicalBytesPerToken = 4;
  constexpr std::size_t kPrefixBytes = 512;
  const auto prompt_estimate =
      static_cast<std::uint32_t>(m_request.prompt.size() / kTypicalBytesPerToken + 1);
  return {.model = m_request.model,
          .prompt_tokens = m_answer.PromptTokens().value_or(prompt_estimate),
          .answer_tokens = m_request.max_tokens,
          .prefix_hash = Hash64(std::string_view(m_request.prompt).substr(0, kPrefixBytes))};
}

std::string PipelineSession::RequiredVersion() const {
  if (m_resume) {
    return m_resume->route.version;
  }
  return m_answer.Tokens().empty() ? "" : m_route.version;
}

void PipelineSession::SwitchRoute(const Route& route) {
  if (m_uses_route) {
    m_parts.chooser.OnFinished(m_route, m_query_sent);
    for (const Route::Hop& old : m_route.hops) {
      if (std::ranges::find(route.hops, old) == route.hops.end()) {
        m_parts.links.ReleaseSession(old.server, m_session, m_relay.Attempt());
      }
    }
  }
  m_route = route;
  m_point.route = route;
  m_query_sent = MakeQuery();
  m_uses_route = true;
  m_parts.chooser.OnSent(m_route, m_query_sent);
}

void PipelineSession::ReleaseRoute() {
  m_relay.Abandon();
  m_step_watchdog.reset();
  m_route_wait.reset();
  m_cache_transfers.reset();
  m_lookup.reset();
  if (std::exchange(m_uses_route, false)) {
    m_relay.ReleaseAll();
    m_parts.chooser.OnFinished(m_route, m_query_sent);
  }
}

}  // namespace zinnia
