#pragma once

#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/admission/admission_controller.h"
#include "zinnia_decisions/once/once_gate.h"
#include "zinnia_decisions/ports/metrics.h"
#include "zinnia_decisions/ports/stage_links.h"
#include "zinnia_decisions/routing/pipeline_chooser.h"
#include "zinnia_decisions/sessions/answer_listener.h"
#include "zinnia_decisions/sessions/recovery_gate.h"
#include "zinnia_decisions/sessions/session_driver.h"

namespace zinnia {

/** Grants everything at once, and counts the grants that are held. */
struct FakeAdmission final : AdmissionController {
  struct Grant final : AdmissionGrant {
    explicit Grant(int& held) : m_held(held) { ++m_held; }
    ~Grant() override { --m_held; }
    int& m_held;
  };
  void Request(AdmissionRequest request, Callback callback) override {
    requests.push_back(std::move(request));
    if (refusal) {
      callback(*refusal);
    } else {
      callback(std::unique_ptr<AdmissionGrant>(std::make_unique<Grant>(held)));
    }
  }
  void SetPoolCapacity(const std::string&, double) override {}
  void SetContract(const Organisation&) override {}
  std::vector<AdmissionRequest> requests;
  std::optional<Error> refusal;
  int held = 0;
};

struct FakeRecoveryGate final : RecoveryGate {
  Result<void> MayStart(const ChatRequest&) override {
    return refusal ? Result<void>(*refusal) : Result<void>();
  }
  Result<void> MayRecover(const ChatRequest&,
                          const BackendServerName&,
                          StepStatus,
                          std::uint32_t) override {
    return {};
  }
  std::optional<Error> refusal;
};

/** Keeps the callbacks; the test answers when it wants. */
struct FakeOnceGate final : OnceGate {
  void Begin(IntentRequest request, std::function<void(Result<IntentReply>)> callback) override {
    begun.push_back(std::move(request));
    answer_begin = std::move(callback);
  }
  void Report(IntentOutcome outcome, std::function<void(Result<void>)> callback) override {
    reported.push_back(std::move(outcome));
    callback({});
  }
  void Reply(IntentVerdict verdict, std::optional<RecordedAnswer> answer = std::nullopt) {
    IntentReply reply;
    reply.verdict = verdict;
    reply.answer = std::move(answer);
    reply.valid_for_ms = 500;
    std::exchange(answer_begin, nullptr)(reply);
  }
  std::vector<IntentRequest> begun;
  std::vector<IntentOutcome> reported;
  std::function<void(Result<IntentReply>)> answer_begin;
};

struct FakeChooser final : PipelineChooser {
  Result<RouteChoice> Choose(const FleetSnapshot&, const RouteQuery&) override {
    return RouteChoice{};
  }
  Result<RouteChoice> Replace(const FleetSnapshot&,
                              const Route&,
                              std::size_t,
                              const RouteQuery&) override {
    return RouteChoice{};
  }
  void OnSent(const Route&, const RouteQuery&) override {}
  void OnFinished(const Route&, const RouteQuery&) override {}
};

struct FakeLinks final : StageLinks {
  void SendStep(const BackendServerName&,
                std::uint32_t,
                StepRequest,
                std::weak_ptr<StepListener>) override {}
  void ReleaseSession(const BackendServerName&, const SessionName&, AttemptNumber) override {}
  void FindSession(const BackendServerName&,
                   const SessionName&,
                   std::function<void(Result<HeldSession>)>) override {}
  void MoveCache(const BackendServerName&,
                 const BackendServerName&,
                 const SessionName&,
                 AttemptNumber,
                 AttemptNumber,
                 std::function<void(Result<std::uint32_t>)>) override {}
};

/** Opens the tokens that the test registered. */
struct FakeResumeTokens final : ResumeTokenCodec {
  std::string Seal(const ResumePoint&) const override { return "sealed"; }
  Result<ResumePoint> Open(const std::string& token) const override {
    const auto found = points.find(token);
    if (found == points.end()) {
      return MakeError(ErrorKind::kResumeRefused, "not a token of ours");
    }
    return found->second;
  }
  std::map<std::string, ResumePoint> points;
};

struct FakeRecorder final : DecisionRecorder {
  void Record(DecisionRecord) override {}
};

struct FakeMetrics final : Metrics {
  void Observe(const OrganisationName&, RequestClass, Measure measure, Duration) override {
    ++observed[measure];
  }
  void AddCredit(const OrganisationName& organisation, RequestClass, double weight) override {
    credit[organisation] += weight;
  }
  void Count(std::string_view counter, std::uint64_t amount) override {
    counts[std::string(counter)] += amount;
  }
  void SetGauge(std::string_view, double) override {}
  std::map<Measure, int> observed;
  std::map<std::string, double> credit;
  std::map<std::string, std::uint64_t> counts;
};

struct FakeLogger final : Logger {
  void Log(LogLevel level,
           std::string_view event,
           std::initializer_list<LogField> fields) override {
    lines.push_back(FormatLogLine(level, event, fields));
  }
  std::vector<std::string> lines;
};

/** A session that the test drives by its listener. */
struct FakeSession final : SessionDriver {
  void Start() override { started = true; }
  void Cancel() override { cancelled = true; }
  void LeaveDrainingServers() override {}
  SessionStatus Status() const override { return {session, request.request_id}; }
  void OnStepAnswer(std::uint32_t, StepAnswer) override {}

  void Token(const std::string& text, bool end = false) {
    if (const auto to = listener.lock()) {
      ++tokens;
      to->OnAnswerToken({1, text, end}, "id-" + std::to_string(tokens));
    }
  }
  void Done() {
    if (const auto to = listener.lock()) {
      to->OnAnswerDone({7, tokens, 0});
    }
  }
  void Fail(const Error& error) {
    if (const auto to = listener.lock()) {
      to->OnAnswerFailed(error);
    }
  }

  SessionName session;
  ChatRequest request;
  std::optional<ResumePoint> resume;
  std::weak_ptr<AnswerListener> listener;
  std::uint32_t tokens = 0;
  bool started = false;
  bool cancelled = false;
};

}  // namespace zinnia
