#include "zinnia_adapters/forwarding/forward_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/beast/http/field.hpp>
#include <utility>

#include "zinnia_adapters/forwarding/crash_watch.h"
#include "zinnia_adapters/forwarding/exclusion_times.h"
#include "zinnia_adapters/forwarding/forward_outcomes.h"
#include "zinnia_adapters/forwarding/held_attempt.h"
#include "zinnia_adapters/forwarding/log_text.h"
#include "zinnia_adapters/forwarding/prompt_part_watch.h"
#include "zinnia_adapters/forwarding/reachability_watch.h"
#include "zinnia_adapters/forwarding/server_connection.h"
#include "zinnia_adapters/forwarding/server_connection_pool.h"
#include "zinnia_adapters/services/header_filter.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/admission/capacity_queue.h"
#include "zinnia_decisions/forwarding/crashes/request_quarantine.h"
#include "zinnia_decisions/forwarding/limits/server_limits.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/server_health.h"
#include "zinnia_decisions/forwarding/paths/service_classes.h"
#include "zinnia_decisions/forwarding/reachability/peer_chooser.h"
#include "zinnia_decisions/forwarding/retries/resend_obstacle.h"
#include "zinnia_decisions/forwarding/retries/shared_retry_budget.h"
#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

/** Lets requests wait for the configuration after a restart; less than the two seconds after which
    callers abandon a stream without events. */
constexpr Duration kConfigurationTimeout = milliseconds(1'700);

/** Excludes a server that answered 421 until the view has its updated entry. */
constexpr Duration kMisdirectedExclusion = milliseconds(1'000);

/** An event gap longer than this fraction of the route's objective indicates a slow server. */
constexpr double kSlowdownQueryGap = 0.6;

/** Minimum time before the deadline to send a request. */
constexpr Duration kMinTimeLeft = milliseconds(30);

}  // namespace

ForwardExchange::ForwardExchange(const ForwardingParts& parts,
                                 CallerRequest request,
                                 std::shared_ptr<Responder> responder,
                                 RequestOrigin origin,
                                 Duration age,
                                 std::function<void(ForwardExchange&)> on_end)
    : m_parts(parts),
      m_request(std::move(request)),
      m_answer(std::move(responder), parts.logger, parts.metrics),
      m_origin(origin),
      m_on_end(std::move(on_end)),
      m_started_at(parts.clock.Now() - age) {}

ForwardExchange::~ForwardExchange() = default;

std::string ForwardExchange::Describe() const {
  return fmt::format("request {} at {}", m_facts.id,
                     m_attempt.server.empty() ? "no server" : m_attempt.server);
}

void ForwardExchange::Start() {
  m_facts = m_parts.codec.ReadRequest(m_request);
  m_answer.SetRequestId(m_facts.id);
  m_fingerprint = FingerprintOf(m_request, m_facts.api_key);
  m_awaits_configuration = !m_parts.view()->rules;
  if (!m_awaits_configuration) {
    Begin();
  }
}

void ForwardExchange::AwaitConfiguration() {
  const auto view = m_parts.view();
  if (view->rules) {
    m_awaits_configuration = false;
    Begin();
    return;
  }
  Duration limit = kConfigurationTimeout;
  if (m_facts.deadline) {
    limit = std::min<Duration>(limit, *m_facts.deadline / 2);
  }
  if (m_parts.clock.Now() - m_started_at >= limit) {
    Answer(NotRun(ErrorKind::kStoreUnavailable, "this instance knows no configuration yet"));
  }
}

void ForwardExchange::Begin() {
  if (const auto error = FindRoute()) {
    LogRefusedByConfiguration();
    Answer(*error);
    return;
  }
  if (IsHarmful()) {
    RefuseHarmful();
    return;
  }
  if (IsRefusedAsCutOff()) {
    Answer(NotRun(ErrorKind::kOverloaded, "this instance reaches no server"));
    return;
  }
  milliseconds limit = m_route->timeout;
  if (m_facts.deadline) {
    limit = std::min(limit, *m_facts.deadline);
  }
  m_deadline = m_started_at + limit;
  if (TimeLeft() <= kMinTimeLeft) {
    Answer(NotRun(ErrorKind::kOverloaded, "the time for the answer was over as it was read"));
    return;
  }
  if (m_ends_by && m_deadline > *m_ends_by) {
    Answer(
        NotRun(ErrorKind::kDraining, "this instance stops before the time for the answer is over"));
    return;
  }
  m_service = ChooseService();
  m_urgency = UrgencyOf(*m_parts.view()->rules, *m_route, m_organisation);
  TrackAnswer();
  if (m_origin == RequestOrigin::kCaller) {
    m_parts.retries.OnRequest(m_service);  // A peer has counted its own.
  }
  EnterAdmission();
  if (IsHeldBack() || MustWaitBehindOthers() || !ChooseServer()) {
    WaitForRoom();
    return;
  }
  NoteStart();
  Send();
}

void ForwardExchange::OnServerAnswerHead(unsigned status, const http::fields& fields) {
  ReadHead(status, fields, m_attempt);
  m_attempt.last_progress = m_parts.clock.Now();
  if (IsOfAnotherRequest(m_attempt)) {
    AbandonServer("an answer to another request arrived");
    return;
  }
  if (!m_attempt.is_at_peer) {
    HandleNotices();
  }
  if (!IsSuccess(status)) {
    return;
  }
  if (!IsServersOwn(m_attempt)) {
    AbandonServer("the answer is not the server's own");
    return;
  }
  if (m_route->repeatability == Repeatability::kStream && MayHaveBody(status)) {
    m_attempt.is_streaming = true;
    m_attempt.stream_began_at = m_parts.clock.Now();
  }
}

/** What Connection names is not passed on, so it must not count as the word of the server either.
 */
void ForwardExchange::ReadHead(unsigned status,
                               const http::fields& fields,
                               ServerAttempt& attempt) const {
  attempt.status = status;
  attempt.fields = fields;
  RemoveHopByHopFields(attempt.fields);
  attempt.answer_facts = m_parts.codec.ReadAnswer(status, attempt.fields);
}

/** A late second answer to an earlier request may name none: on a connection that has carried
    another request before, only an answer that names this one is believed. Peers answer once. */
bool ForwardExchange::IsOfAnotherRequest(const ServerAttempt& attempt) const {
  const std::string& named = attempt.answer_facts.request_id;
  if (!named.empty() || m_facts.id.empty()) {
    return !named.empty() && named != m_facts.id;
  }
  if (attempt.is_at_peer) {
    return false;
  }
  const bool is_kept = attempt.connection->HasServed();
  m_parts.metrics.Count(is_kept ? "unnamed_answers_on_kept_connections" : "unnamed_answers");
  m_parts.logger.Log(LogLevel::kInfo, "answer_names_no_request",
                     {{"request", m_facts.id},
                      {"server", attempt.server},
                      {"status", std::to_string(attempt.status)},
                      {"kept_connection", is_kept ? "yes" : "no"}});
  return is_kept;
}

bool ForwardExchange::IsServersOwn(const ServerAttempt& attempt) {
  return attempt.answer_facts.is_signed && attempt.fields.count(http::field::content_encoding) == 0;
}

/** Called with the first whole event or the end of the stream, not with the head: until then
   another server may be the one that goes on, whose head and signature belong to the answer. */
void ForwardExchange::BeginStream() {
  if (m_answer.HasBegun()) {
    return;
  }
  StreamHead head(static_cast<http::status>(m_attempt.status), 11);
  static_cast<http::fields&>(head) = m_attempt.fields;
  head.erase(http::field::content_length);
  m_head_of = m_attempt.server;
  m_answer.StartStream(std::move(head));
}

HeldAnswerBytes ForwardExchange::OnServerAnswerBody(std::string_view bytes) {
  if (!m_attempt.is_streaming) {
    m_attempt.body.Append(bytes);
    return Held();
  }
  const std::string events = m_events.Take(bytes);
  if (events.empty()) {
    return Held();
  }
  const TimePoint now = m_parts.clock.Now();
  const bool is_first = !m_event_intervals.HasBegun();
  m_event_intervals.OnEvent(now);
  if (is_first) {
    m_first_event_of = m_attempt.server;
    m_first_event_after = now - m_started_at;
    if (!m_attempt.is_at_peer) {
      m_parts.health.OnFirstEvent(m_attempt.server, now - m_attempt.sent_at);
    }
    m_parts.metrics.Observe(m_organisation, RequestClass::kChat, Measure::kFirstToken,
                            m_first_event_after);
  } else if (m_event_intervals.IsLastIntervalUnusual(std::chrono::duration_cast<Duration>(
                 m_route->event_gap_objective * kSlowdownQueryGap))) {
    QuerySlowdownFactors();
  }
  if (!std::exchange(m_attempt.path_confirmed, true)) {
    for (const PathPart& part : m_attempt.path) {
      m_parts.health.OnProgress(part.server);
    }
  }
  m_attempt.last_progress = now;
  NoteTokensSent();
  m_failed_reroutes = 0;
  m_move_attempts.OnProgress();
  m_next_search_at = {};
  m_keeps_waiting = false;
  ReleaseHeld();
  if (!m_attempt.is_at_peer && now - m_attempt.stream_began_at >= RequestQuarantine::kOnsetTime) {
    NoteSurvival();
  }
  m_history.can_resume = m_events.LastEventId().has_value();
  BeginStream();
  m_answer.SendEvents(events);
  MoveIfDue();
  return Held();
}

HeldAnswerBytes ForwardExchange::Held() const {
  if (!m_attempt.is_streaming) {
    return {m_attempt.body.Size(), 0};
  }
  return {m_events.PartialEventBytes(), m_events.PartialEventBytes()};
}

void ForwardExchange::OnServerAnswerEnd() {
  if (m_attempt.connection) {
    m_parts.connections.Keep(m_attempt.server, std::exchange(m_attempt.connection, nullptr));
  }
  if (!m_attempt.is_streaming) {
    OnWholeAnswer();
    return;
  }
  if (m_events.HasPartialEvent()) {
    NoteBrokenAnswer(m_attempt);
    OnSendEnded(SendOutcome::kUnknown, "the stream ended within an event");
    return;
  }
  if (!m_attempt.is_at_peer) {
    m_parts.health.OnOutcome(m_attempt.server, true);
    NoteSurvival();
  }
  m_parts.quarantine.OnEndedWell(m_fingerprint);
  NoteAnswerLength();
  BeginStream();
  m_answer.EndStream();
  End("streamed");
}

void ForwardExchange::OnWholeAnswer() {
  if (m_attempt.is_at_peer) {
    OnPeerAnswer();
    return;
  }
  if (m_attempt.answer_facts.not_run || m_attempt.status == kStatusMisdirected) {
    OnNotRun();
    return;
  }
  if (IsSuccess(m_attempt.status) && m_answer.HasBegun()) {
    OnSendEnded(SendOutcome::kUnknown, "a whole answer to a stream that has begun");
    return;
  }
  m_parts.quarantine.OnEndedWell(m_fingerprint);
  if (IsSuccess(m_attempt.status)) {
    m_parts.health.OnProgress(m_attempt.server);
    m_parts.health.OnOutcome(m_attempt.server, true);
    PassOnWholeAnswer();
    return;
  }
  OnSendEnded(SendOutcome::kServerFailed, fmt::format("status {}", m_attempt.status));
}

/** Returns the server that the answer names as faulty, or else the first server. */
PathPart ForwardExchange::FaultyPart() const {
  for (const PathPart& part : m_attempt.path) {
    if (part.address.ToString() == m_attempt.answer_facts.server_at_fault) {
      return part;
    }
  }
  return m_attempt.path.empty() ? PathPart{m_attempt.server, m_attempt.address, {}}
                                : m_attempt.path.front();
}

void ForwardExchange::OnNotRun() {
  const bool misdirected = m_attempt.status == kStatusMisdirected;
  const PathPart at_fault = FaultyPart();
  const bool asks_for_pause =
      m_attempt.answer_facts.notices.pause && at_fault.server == m_attempt.server;
  if (misdirected) {
    QueryLayers(at_fault);
    m_parts.health.Exclude(at_fault.server, kMisdirectedExclusion);
  } else if (!m_attempt.path.empty() && !asks_for_pause) {
    ConfirmRefusal(at_fault);
    m_parts.health.ExcludeWithBackoff(at_fault.server, kFullExclusion, kLongestFullExclusion);
  }
  m_avoided.insert(at_fault.server);
  SendAgainOrGiveUp(SendOutcome::kNotRun,
                    fmt::format("status {} of {}, not run", m_attempt.status, at_fault.server));
}

void ForwardExchange::OnServerFailed(AnswerFailure failure, std::string_view reason) {
  m_attempt.connection.reset();
  if (m_attempt.is_at_peer && failure != AnswerFailure::kBroken) {
    OnPeerFailed(reason);
    return;
  }
  if (failure != AnswerFailure::kBroken) {
    if (failure == AnswerFailure::kRefused) {
      m_parts.crashes.OnConnectionRefused(m_attempt.server);
    }
    if (failure != AnswerFailure::kWithdrawn) {
      m_parts.reachability.OnConnectFailed(m_attempt.server);
      m_parts.health.MarkSuspect(m_attempt.server, kUnreachableExclusion);
    }
    ForgetUnsent();
    m_avoided.insert(m_attempt.server);
    SendAgainOrGiveUp(SendOutcome::kNotSent, reason);
    return;
  }
  NoteBrokenAnswer(m_attempt);
  OnSendEnded(SendOutcome::kUnknown, reason);
}

void ForwardExchange::OnSendEnded(SendOutcome outcome, std::string_view reason) {
  if (m_attempt.is_at_peer) {
    m_parts.peers.Exclude(m_attempt.server);
  } else {
    m_parts.health.OnOutcome(m_attempt.server, false);
  }
  m_avoided.insert(m_attempt.server);
  SendAgainOrGiveUp(outcome, reason);
}

void ForwardExchange::SendAgainOrGiveUp(SendOutcome outcome, std::string_view reason) {
  if (m_ended) {
    return;
  }
  const Decision decision = Decide(outcome);
  if (outcome == SendOutcome::kUnknown || outcome == SendOutcome::kServerFailed) {
    m_history.may_have_run = true;
  }
  LogDecision(decision,
              decision.step == NextStep::kSendAgain ? "request_sent_again" : "request_given_up",
              reason);
  if (decision.step == NextStep::kSendAgain) {
    Take(*decision.next);
    Send();
  } else if (MayReturnToHeld()) {
    ReturnToHeld(reason);
  } else {
    GiveUp(decision.step, reason);
  }
}

/** The server is found before the budget is charged, so that a retry is not paid for in vain; none
   is looked for if the budget is empty. */
ForwardExchange::Decision ForwardExchange::Decide(SendOutcome outcome) {
  Decision decision;
  m_history.time_left = TimeLeft() > kMinTimeLeft;
  m_history.has_alternative = !MustNotBeSentAgain();
  decision.obstacle = FindObstacle(*m_route, outcome, m_history);
  if (decision.obstacle == ResendObstacle::kNone && !m_history.has_alternative) {
    decision.obstacle = ResendObstacle::kHarmful;
  }
  decision.step = DecideNextStep(*m_route, outcome, m_history);
  if (decision.step == NextStep::kSendAgain) {
    const bool is_free = outcome == SendOutcome::kNotSent;
    const bool is_affordable = is_free || m_parts.retries.HasRetry(m_service, *m_parts.view());
    if (is_affordable) {
      decision.next = FindServer();
    }
    if (decision.next || !is_affordable) {
      decision.charge = ChargeRetry(outcome);
    }
    if (decision.charge == RetryCharge::kRefused) {
      decision.obstacle = ResendObstacle::kBudget;
    } else if (!decision.next) {
      decision.obstacle = ResendObstacle::kNoServer;
    }
    m_history.has_alternative = decision.obstacle == ResendObstacle::kNone;
    decision.step = DecideNextStep(*m_route, outcome, m_history);
  }
  return decision;
}

void ForwardExchange::LogDecision(const Decision& decision,
                                  std::string_view event,
                                  std::string_view reason) const {
  m_parts.logger.Log(
      LogLevel::kInfo, event,
      {{"request", m_facts.id},
       {"server", m_attempt.server},
       {"reason", std::string(reason)},
       {"servers_reached", std::to_string(m_history.servers_reached)},
       {"retry", decision.charge ? std::string(NameOf(*decision.charge)) : "not_wanted"},
       {"next", decision.next ? decision.next->server : "none"},
       {"obstacle", std::string(NameOf(decision.obstacle))},
       {"may_have_run", m_history.may_have_run ? "yes" : "no"},
       {"time_left_ms", Milliseconds(TimeLeft())}});
}

RetryCharge ForwardExchange::ChargeRetry(SendOutcome outcome) {
  RetryCharge charge = RetryCharge::kNotCharged;
  if (outcome != SendOutcome::kNotSent) {
    charge = m_parts.retries.TrySpend(m_service, *m_parts.view()) ? RetryCharge::kCharged
                                                                  : RetryCharge::kRefused;
  }
  m_parts.metrics.Count(fmt::format("retries_{}", NameOf(charge)));
  return charge;
}

}  // namespace zinnia
