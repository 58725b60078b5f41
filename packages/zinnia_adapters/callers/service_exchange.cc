#include "zinnia_adapters/callers/service_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/field.hpp>
#include <utility>

#include "zinnia_adapters/callers/caller_server_parts.h"
#include "zinnia_adapters/callers/exchange_registry.h"
#include "zinnia_adapters/services/header_filter.h"
#include "zinnia_decisions/admission/admission_controller.h"
#include "zinnia_decisions/once/once_gate.h"
#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kKeyField = "Idempotency-Key";
constexpr std::size_t kMostKeyBytes = 255;

Fingerprint FingerprintOf(const CallerRequest& request) {
  return Fingerprint::Of(fmt::format("{} {}\n{}", std::string_view(request.method_string()),
                                     std::string_view(request.target()), request.body()));
}

Error OutcomeUnknown() {
  Error error = MakeError(ErrorKind::kOutcomeUnknown,
                          "a request with this key was started and its outcome is not known");
  error.was_run = WasRun::kUnknown;
  return error;
}

}  // namespace

ServiceExchange::ServiceExchange(ExchangeContext context,
                                 ServiceContract contract,
                                 std::shared_ptr<ServiceForwarder> forwarder)
    : m_context(std::move(context)),
      m_contract(std::move(contract)),
      m_forwarder(std::move(forwarder)) {}

ServiceExchange::~ServiceExchange() = default;

void ServiceExchange::Start() {
  m_key = std::string(m_context.request[kKeyField]);
  if (m_key.size() > kMostKeyBytes) {
    Fail(MakeError(ErrorKind::kInvalidRequest,
                   fmt::format("Idempotency-Key has more than {} bytes", kMostKeyBytes)));
  } else if (!IsIdempotent() && m_key.empty() && m_contract.requires_idempotency_key) {
    Fail(MakeError(ErrorKind::kInvalidRequest,
                   m_contract.name + " needs an Idempotency-Key for this method"));
  } else {
    Admit();
  }
}

bool ServiceExchange::IsIdempotent() const {
  const std::string method(m_context.request.method_string());
  return std::ranges::find(m_contract.non_idempotent_methods, method) ==
         m_contract.non_idempotent_methods.end();
}

void ServiceExchange::Admit() {
  m_queued_at = m_context.parts.clock.Now();
  AdmissionRequest admission;
  admission.organisation = m_context.organisation.name;
  admission.request_class = RequestClass::kServiceCall;
  admission.pool = m_contract.name;
  admission.deadline = m_context.deadline;
  m_context.parts.admission.Request(
      std::move(admission),
      [weak = weak_from_this()](Result<std::unique_ptr<AdmissionGrant>> grant) {
        if (const auto self = weak.lock()) {
          self->OnAdmitted(std::move(grant));
        }
      });
}

void ServiceExchange::OnAdmitted(Result<std::unique_ptr<AdmissionGrant>> grant) {
  if (m_finished) {
    return;
  }
  if (!grant) {
    Fail(grant.error());
    return;
  }
  if (HasCallerLeft()) {
    Finish("caller_gone");
    return;
  }
  m_grant = std::move(*grant);
  m_context.parts.metrics.Observe(m_context.organisation.name, RequestClass::kServiceCall,
                                  Measure::kQueueing, m_context.parts.clock.Now() - m_queued_at);
  if (IsIdempotent() || m_key.empty()) {
    Dispatch(std::nullopt);
  } else {
    BeginOnce();
  }
}

bool ServiceExchange::HasCallerLeft() const {
  return m_caller_gone || !m_context.responder->IsCallerThere();
}

void ServiceExchange::BeginOnce() {
  m_fingerprint = FingerprintOf(m_context.request);
  IntentRequest intent;
  intent.organisation = m_context.organisation.name;
  intent.key = m_key;
  intent.request = m_fingerprint;
  intent.request_id = m_context.request_id;
  m_begun_at = m_context.parts.clock.Now();
  m_holds_intent = true;
  m_context.parts.once_gate.Begin(
      std::move(intent),
      [self = shared_from_this()](const Result<IntentReply>& reply) { self->OnVerdict(reply); });
}

void ServiceExchange::OnVerdict(const Result<IntentReply>& reply) {
  m_holds_intent = reply && reply->verdict == IntentVerdict::kGranted;
  if (!reply) {
    Fail(reply.error());
    return;
  }
  if (m_holds_intent) {
    const TimePoint valid_until = m_begun_at + std::chrono::milliseconds(reply->valid_for_ms);
    // A thread that was paused between the grant and here may no longer hold the right: the
    // partition's next holder treats the intent as started or free by now.
    if (HasCallerLeft() || m_context.parts.clock.Now() >= valid_until) {
      ReportUnused(MakeError(ErrorKind::kOverloaded, "the right to dispatch came too late"));
    } else {
      Dispatch(valid_until);
    }
    return;
  }
  if (reply->verdict == IntentVerdict::kAnswered && reply->answer) {
    Replay(*reply->answer);
  } else if (reply->verdict == IntentVerdict::kKeyReused) {
    Fail(MakeError(ErrorKind::kKeyReused, "this key was used for a different request"));
  } else {
    Fail(OutcomeUnknown());
  }
}

void ServiceExchange::Dispatch(std::optional<TimePoint> dispatch_before) {
  ServiceCall call;
  call.organisation = m_context.organisation.name;
  call.contract = m_contract;
  call.request = MakeForwardedRequest();
  call.may_repeat = IsIdempotent();
  call.dispatch_before = dispatch_before;
  m_forwarder->Forward(std::move(call),
                       [self = shared_from_this()](Result<BackendResponse> result) {
                         self->OnForwarded(std::move(result));
                       });
}

BackendRequest ServiceExchange::MakeForwardedRequest() const {
  BackendRequest request = m_context.request;
  RemoveHopByHopFields(request);
  request.version(11);
  request.keep_alive(true);
  // The key is a secret between the caller and this system.
  request.erase(http::field::authorization);
  request.erase(http::field::expect);
  request.set("X-Request-Id", m_context.request_id);
  request.set("X-Organisation", m_context.organisation.name);
  return request;
}

void ServiceExchange::OnForwarded(Result<BackendResponse> result) {
  if (!result) {
    if (m_holds_intent && result.error().was_run == WasRun::kNo) {
      ReportUnused(result.error());
    } else {
      Fail(result.error());
    }
    return;
  }
  CallerResponse response = std::move(*result);
  RemoveHopByHopFields(response);
  response.version(11);
  response.set("X-Request-Id", m_context.request_id);
  if (!m_holds_intent) {
    Answer(std::move(response), "answered");
    return;
  }
  m_answer = std::move(response);
  ReportAnswer(*m_answer);
}

IntentOutcome ServiceExchange::MakeOutcome() const {
  IntentOutcome outcome;
  outcome.organisation = m_context.organisation.name;
  outcome.key = m_key;
  outcome.request_id = m_context.request_id;
  return outcome;
}

void ServiceExchange::ReportAnswer(const BackendResponse& response) {
  IntentOutcome outcome = MakeOutcome();
  RecordedAnswer recorded;
  recorded.status = response.result_int();
  recorded.content_type = std::string(response[http::field::content_type]);
  recorded.body = response.body();
  outcome.answer = std::move(recorded);
  m_record_wait = m_context.parts.scheduler.ScheduleAfter(kRecordWait, [this] { OnRecorded(); });
  m_context.parts.once_gate.Report(std::move(outcome),
                                   [self = shared_from_this()](const Result<void>& recorded_now) {
                                     if (!recorded_now) {
                                       self->m_context.parts.metrics.Count("once_reports_failed");
                                     }
                                     self->OnRecorded();
                                   });
}

void ServiceExchange::OnRecorded() {
  if (m_answer) {
    Answer(std::move(*std::exchange(m_answer, std::nullopt)), "answered");
  }
}

void ServiceExchange::ReportUnused(const Error& error) {
  m_context.parts.once_gate.Report(MakeOutcome(), [self = shared_from_this(), error](
                                                      const Result<void>&) { self->Fail(error); });
}

void ServiceExchange::Replay(const RecordedAnswer& answer) {
  CallerResponse response = MakeJsonResponse(answer.status, answer.body);
  response.set(http::field::content_type, answer.content_type);
  response.set("Idempotency-Replayed", "true");
  response.set("X-Request-Id", m_context.request_id);
  if (answer.body_dropped) {
    response.set("Idempotency-Body-Dropped", "true");
  }
  Answer(std::move(response), "replayed");
}

void ServiceExchange::Answer(CallerResponse response, const std::string& outcome) {
  if (outcome == "answered" && response.result_int() < 500) {
    m_context.parts.metrics.AddCredit(m_context.organisation.name, RequestClass::kServiceCall,
                                      m_contract.credit_weight);
  }
  if (!m_caller_gone) {
    m_context.responder->SendWhole(std::move(response));
  }
  Finish(outcome);
}

void ServiceExchange::Fail(const Error& error) {
  if (m_finished) {
    return;
  }
  if (!m_caller_gone) {
    SendProblem(m_context, error);
  }
  Finish(std::string(NameOf(error.kind)));
}

void ServiceExchange::OnCallerGone() {
  m_caller_gone = true;
  m_context.responder.reset();
  // Still waiting for admission: nothing was asked for or sent, so nothing has to go on.
  if (!m_grant && !m_finished) {
    Finish("caller_gone");
  }
}

void ServiceExchange::Finish(const std::string& outcome) {
  m_finished = true;
  RecordFinished(m_context, RequestClass::kServiceCall, m_contract.name, outcome);
  m_grant.reset();
  // The timer may be on the call stack below.
  boost::asio::post(m_context.parts.loop,
                    [self = shared_from_this(),
                     wait = std::shared_ptr<ScheduledCall>(std::move(m_record_wait))] {});
  m_context.responder.reset();
  m_context.registry.Remove(this);
}

std::string ServiceExchange::Describe() const {
  return fmt::format("service call {} of {} to {}", m_context.request_id,
                     m_context.organisation.name, m_contract.name);
}

}  // namespace zinnia
