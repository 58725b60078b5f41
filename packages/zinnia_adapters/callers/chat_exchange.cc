#include "zinnia_adapters/callers/chat_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "zinnia_adapters/callers/caller_server_parts.h"
#include "zinnia_adapters/callers/exchange_registry.h"
#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_decisions/admission/admission_controller.h"
#include "zinnia_decisions/ports/metrics.h"
#include "zinnia_decisions/ports/snapshot_source.h"
#include "zinnia_decisions/sessions/recovery_gate.h"
#include "zinnia_decisions/sessions/resume_check.h"

namespace zinnia {
namespace {

constexpr std::uint32_t kDefaultMaxTokens = 256;

std::int64_t UnixMilliseconds(const Clock& clock) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(clock.WallNow().time_since_epoch())
      .count();
}

/** Length-prefixed, so that no two requests of different organisations or models hash the same
    bytes. */
Fingerprint FingerprintOf(const OrganisationName& organisation, const ChatBody& body) {
  return Fingerprint::Of(fmt::format("{}:{}{}:{}{}", organisation.size(), organisation,
                                     body.model.size(), body.model, body.prompt));
}

std::uint32_t EstimatePromptTokens(const std::string& prompt) {
  return 1 + static_cast<std::uint32_t>(std::ranges::count(prompt, ' '));
}

}  // namespace

ChatExchange::ChatExchange(ExchangeContext context) : m_context(std::move(context)) {}

ChatExchange::~ChatExchange() = default;

void ChatExchange::Start() {
  const Result<void> prepared = Prepare();
  if (!prepared) {
    OnAnswerFailed(prepared.error());
    return;
  }
  const Result<RouteChoice> estimate = Estimate();
  if (!estimate) {
    OnAnswerFailed(estimate.error());
    return;
  }
  if (m_request.deadline) {
    m_deadline = m_context.parts.scheduler.ScheduleAfter(
        *m_request.deadline - m_context.parts.clock.Now(), [this] { OnDeadline(); });
  }
  Admit(*estimate);
}

Result<void> ChatExchange::Prepare() {
  Result<ChatBody> body = ParseChatBody(m_context.request.body());
  if (!body) {
    return body.error();
  }
  m_body = std::move(*body);
  m_context.request.body().clear();
  if (Result<void> model = ReadModel(); !model) {
    return model;
  }
  m_request.request_id = m_context.request_id;
  m_request.organisation = m_context.organisation.name;
  m_request.model = m_body.model;
  m_request.fingerprint = FingerprintOf(m_request.organisation, m_body);
  m_request.prompt = std::move(m_body.prompt);
  m_request.max_tokens =
      m_body.max_tokens.value_or(std::min(kDefaultMaxTokens, m_model.max_tokens));
  m_request.priority = m_context.organisation.priority;
  m_request.seed = m_body.seed.value_or(m_context.random);
  m_request.deadline = m_context.deadline;
  if (Result<void> resume = OpenResumePoint(); !resume) {
    return resume;
  }
  return m_context.parts.recovery_gate.MayStart(m_request);
}

Result<void> ChatExchange::ReadModel() {
  const auto snapshot = m_context.parts.snapshots.Current();
  const auto& models = snapshot->configuration->models();
  const auto found = models.find(m_body.model);
  if (found == models.end()) {
    return MakeError(ErrorKind::kUnknownModel, "there is no model \"" + m_body.model + "\"");
  }
  m_model = found->second;
  if (m_body.max_tokens.value_or(0) > m_model.max_tokens) {
    return MakeError(ErrorKind::kInvalidRequest,
                     fmt::format("max_tokens is {}, but {} gives at most {}", *m_body.max_tokens,
                                 m_model.name, m_model.max_tokens));
  }
  return {};
}

Result<void> ChatExchange::OpenResumePoint() {
  const auto header = m_context.request["Last-Event-ID"];
  if (header.empty()) {
    return {};
  }
  if (!m_body.stream) {
    return MakeError(ErrorKind::kResumeRefused,
                     "only a streamed answer can be resumed: set stream to true");
  }
  Result<ResumePoint> point =
      zinnia::OpenResumePoint(m_context.parts.resume_tokens, std::string(header), m_request,
                              m_context.parts.clock.WallNow());
  if (!point) {
    return point.error();
  }
  m_request.seed = point->seed;
  m_resume = std::move(*point);
  return {};
}

Result<RouteChoice> ChatExchange::Estimate() const {
  RouteQuery query;
  query.model = m_request.model;
  query.prompt_tokens = EstimatePromptTokens(m_request.prompt);
  query.answer_tokens = m_request.max_tokens;
  return m_context.parts.chooser.Choose(*m_context.parts.snapshots.Current(), query);
}

void ChatExchange::Admit(const RouteChoice& estimate) {
  m_queued_at = m_context.parts.clock.Now();
  AdmissionRequest admission;
  admission.organisation = m_request.organisation;
  admission.request_class = RequestClass::kChat;
  admission.pool = m_request.model;
  admission.cost = EstimatePromptTokens(m_request.prompt) + m_request.max_tokens;
  admission.expected_service_time = estimate.expected_time_to_first_token +
                                    estimate.expected_inter_token_latency * m_request.max_tokens;
  admission.deadline = m_request.deadline;
  m_context.parts.admission.Request(
      std::move(admission),
      [weak = weak_from_this()](Result<std::unique_ptr<AdmissionGrant>> grant) {
        if (const auto self = weak.lock()) {
          self->OnAdmitted(std::move(grant));
        }
      });
}

void ChatExchange::OnAdmitted(Result<std::unique_ptr<AdmissionGrant>> grant) {
  if (m_finished) {
    return;
  }
  if (!grant) {
    OnAnswerFailed(grant.error());
    return;
  }
  if (!m_context.responder->IsCallerThere()) {
    Finish("caller_gone");
    return;
  }
  const CallerServerParts& parts = m_context.parts;
  parts.metrics.Observe(m_request.organisation, RequestClass::kChat, Measure::kQueueing,
                        parts.clock.Now() - m_queued_at);
  m_grant = std::move(*grant);
  const SessionName session = m_resume ? m_resume->session : m_context.request_id;
  m_events = std::make_unique<ChatEvents>("chatcmpl-" + session, m_request.model,
                                          UnixMilliseconds(parts.clock) / 1000);
  m_driver = parts.create_session(
      {parts.clock, parts.scheduler, parts.links, parts.chooser, parts.snapshots,
       parts.recovery_gate, parts.resume_tokens, parts.recorder},
      session, m_request, m_resume, weak_from_this());
  m_driver->Start();
}

void ChatExchange::OnAnswerToken(const SampledToken& token, const std::string& event_id) {
  if (m_finished) {
    return;
  }
  ObserveToken();
  m_end_of_answer = token.end_of_answer;
  if (!m_body.stream) {
    m_whole_text += token.text;
    return;
  }
  const bool first = !m_stream_open && !m_resume;
  OpenStream();
  m_context.responder->SendEvents(m_events->Token(token, event_id, first));
}

void ChatExchange::ObserveToken() {
  const TimePoint now = m_context.parts.clock.Now();
  if (m_tokens == 0) {
    m_context.parts.metrics.Observe(m_request.organisation, RequestClass::kChat,
                                    Measure::kFirstToken, now - m_context.started_at);
  } else {
    m_context.parts.metrics.Observe(m_request.organisation, RequestClass::kChat,
                                    Measure::kBetweenTokens, now - m_last_token_at);
  }
  m_last_token_at = now;
  ++m_tokens;
}

void ChatExchange::OpenStream() {
  if (!std::exchange(m_stream_open, true)) {
    m_context.responder->StartEvents(m_context.request_id);
  }
}

void ChatExchange::OnAnswerDone(const AnswerUsage& usage) {
  if (m_finished) {
    return;
  }
  SendAnswer(usage);
  if (m_finished) {
    return;  // the ending was too much for a slow reader, who was cut off
  }
  m_context.parts.metrics.AddCredit(m_request.organisation, RequestClass::kChat,
                                    m_model.credit_weight);
  Finish("answered");
}

void ChatExchange::SendAnswer(const AnswerUsage& usage) {
  if (!m_body.stream) {
    CallerResponse response =
        MakeJsonResponse(200, m_events->Whole(m_whole_text, FinishReason(usage), usage));
    response.set("X-Request-Id", m_context.request_id);
    m_context.responder->SendWhole(std::move(response));
    return;
  }
  OpenStream();
  std::string ending = m_events->Finish(FinishReason(usage));
  if (m_body.include_usage) {
    ending += m_events->Usage(usage);
  }
  // Sending may end in OnCallerGone, which lets go of the member.
  const auto responder = m_context.responder;
  responder->SendEvents(ending + ChatEvents::Done());
  responder->EndEvents();
}

std::string_view ChatExchange::FinishReason(const AnswerUsage& usage) const {
  return !m_end_of_answer && usage.answer_tokens >= m_request.max_tokens ? "length" : "stop";
}

void ChatExchange::OnAnswerFailed(const Error& error) {
  if (m_finished) {
    return;
  }
  Error told = error;
  if (m_tokens > 0 && told.was_run == WasRun::kNo) {
    told.was_run = WasRun::kUnknown;
  }
  if (m_stream_open) {
    const auto responder = m_context.responder;
    responder->SendEvents(ChatEvents::Failure(told));
    responder->EndEvents();
  } else {
    SendProblem(m_context, told);
  }
  Finish(std::string(NameOf(told.kind)));
}

void ChatExchange::OnDeadline() {
  Error error = MakeError(ErrorKind::kDeadlineUnmeetable, "the deadline passed before the answer");
  error.was_run = m_driver ? WasRun::kUnknown : WasRun::kNo;
  const auto self = shared_from_this();
  if (m_driver) {
    m_driver->Cancel();
  }
  OnAnswerFailed(error);
}

void ChatExchange::OnCallerGone() {
  if (m_finished) {
    return;
  }
  if (m_driver) {
    m_driver->Cancel();
  }
  Finish("caller_gone");
}

void ChatExchange::Finish(const std::string& outcome) {
  if (std::exchange(m_finished, true)) {
    return;
  }
  RecordFinished(m_context, RequestClass::kChat, m_body.model, outcome);
  m_grant.reset();
  // Both may be on the call stack below this one: the driver tells its end, the timer has fired.
  // Without the delay they would be destroyed while they run.
  boost::asio::post(m_context.parts.loop,
                    [self = shared_from_this(), driver = std::exchange(m_driver, nullptr),
                     deadline = std::shared_ptr<ScheduledCall>(std::move(m_deadline))] {});
  m_context.responder.reset();
  m_context.registry.Remove(this);
}

std::string ChatExchange::Describe() const {
  return fmt::format("chat {} of {} with {}, {} tokens sent", m_context.request_id,
                     m_context.organisation.name, m_body.model, m_tokens);
}

}  // namespace zinnia
