#pragma once

#include <memory>
#include <optional>
#include <string>

#include "zinnia_adapters/callers/caller_exchange.h"
#include "zinnia_adapters/callers/chat_body.h"
#include "zinnia_adapters/callers/chat_events.h"
#include "zinnia_adapters/callers/exchange_context.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/routing/pipeline_chooser.h"
#include "zinnia_decisions/sessions/answer_listener.h"
#include "zinnia_world/contracts/model.h"
#include "zinnia_world/requests/chat_request.h"

namespace zinnia {

class AdmissionGrant;

/** One chat: checks the body, asks the recovery gate and the admission controller, drives the
    session and passes its tokens on. The grant is kept until the answer ended.

    @see CallerServer, SessionDriver
*/
class ChatExchange final : public CallerExchange,
                           public AnswerListener,
                           public std::enable_shared_from_this<ChatExchange> {
 public:
  explicit ChatExchange(ExchangeContext context);
  ~ChatExchange() override;

  void Start() override;
  void OnCallerGone() override;
  std::string Describe() const override;
  SessionDriver* Session() const override { return m_driver.get(); }

  void OnAnswerToken(const SampledToken& token, const std::string& event_id) override;
  void OnAnswerDone(const AnswerUsage& usage) override;
  void OnAnswerFailed(const Error& error) override;

 private:
  Result<void> Prepare();
  Result<void> ReadModel();
  Result<void> OpenResumePoint();
  Result<RouteChoice> Estimate() const;
  void Admit(const RouteChoice& estimate);
  void OnAdmitted(Result<std::unique_ptr<AdmissionGrant>> grant);
  void OnDeadline();
  void ObserveToken();
  void OpenStream();
  void SendAnswer(const AnswerUsage& usage);
  std::string_view FinishReason(const AnswerUsage& usage) const;
  void Finish(const std::string& outcome);

  ExchangeContext m_context;
  ChatBody m_body;
  ChatRequest m_request;
  Model m_model;
  std::optional<ResumePoint> m_resume;
  std::unique_ptr<ChatEvents> m_events;
  std::unique_ptr<AdmissionGrant> m_grant;
  std::shared_ptr<SessionDriver> m_driver;
  std::unique_ptr<ScheduledCall> m_deadline;
  std::string m_whole_text;
  std::uint32_t m_tokens = 0;
  TimePoint m_last_token_at{};
  TimePoint m_queued_at{};
  bool m_stream_open = false;
  bool m_end_of_answer = false;
  bool m_finished = false;
};

}  // namespace zinnia
