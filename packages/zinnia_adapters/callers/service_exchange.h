#pragma once

#include <memory>
#include <string>

#include "zinnia_adapters/callers/caller_exchange.h"
#include "zinnia_adapters/callers/exchange_context.h"
#include "zinnia_adapters/services/service_forwarder.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/ports/peer_messages.h"
#include "zinnia_world/contracts/service_contract.h"

namespace zinnia {

class AdmissionGrant;

/** One call of a plain service.

    A non-idempotent call with an Idempotency-Key passes the once gate: it is dispatched only after
    the grant and within its validity, and its outcome is reported. A grant that is not used (the
    caller left, the validity passed, no server could be reached) is reported as unused before the
    caller hears "not run", so that the key is free when the caller comes back. Without a key it is
    dispatched at most once. Once dispatched, the call goes on even if the caller leaves.

    @see OnceGate, ServiceForwarder
*/
class ServiceExchange final : public CallerExchange,
                              public std::enable_shared_from_this<ServiceExchange> {
 public:
  /** How long the caller waits for the outcome to be recorded before it gets its answer anyway. */
  static constexpr Duration kRecordWait = std::chrono::milliseconds(250);

  ServiceExchange(ExchangeContext context,
                  ServiceContract contract,
                  std::shared_ptr<ServiceForwarder> forwarder);
  ~ServiceExchange() override;

  void Start() override;
  void OnCallerGone() override;
  std::string Describe() const override;

 private:
  bool IsIdempotent() const;
  void Admit();
  void OnAdmitted(Result<std::unique_ptr<AdmissionGrant>> grant);
  /** Even if that was not told yet. */
  bool HasCallerLeft() const;
  void BeginOnce();
  void OnVerdict(const Result<IntentReply>& reply);
  void Dispatch(std::optional<TimePoint> dispatch_before);
  BackendRequest MakeForwardedRequest() const;
  void OnForwarded(Result<BackendResponse> result);
  void ReportAnswer(const BackendResponse& response);
  void ReportUnused(const Error& error);
  IntentOutcome MakeOutcome() const;
  void OnRecorded();
  void Replay(const RecordedAnswer& answer);
  void Answer(CallerResponse response, const std::string& outcome);
  void Fail(const Error& error);
  void Finish(const std::string& outcome);

  ExchangeContext m_context;
  const ServiceContract m_contract;
  const std::shared_ptr<ServiceForwarder> m_forwarder;
  std::string m_key;
  Fingerprint m_fingerprint;
  TimePoint m_queued_at{};
  TimePoint m_begun_at{};
  std::unique_ptr<AdmissionGrant> m_grant;
  std::unique_ptr<ScheduledCall> m_record_wait;
  std::optional<CallerResponse> m_answer;
  bool m_holds_intent = false;
  bool m_caller_gone = false;
  bool m_finished = false;
};

}  // namespace zinnia
