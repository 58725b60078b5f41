#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/routing/pipeline_chooser.h"
#include "zinnia_decisions/sessions/cache_transfers.h"
#include "zinnia_decisions/sessions/generated_answer.h"
#include "zinnia_decisions/sessions/recovery_routes.h"
#include "zinnia_decisions/sessions/resume_lookup.h"
#include "zinnia_decisions/sessions/session_driver.h"
#include "zinnia_decisions/sessions/session_records.h"
#include "zinnia_decisions/sessions/step_relay.h"

namespace zinnia {

class AnswerListener;

/** Implements SessionDriver: starts attempts, delivers tokens and recovers from failures.

    @see StepRelay, GeneratedAnswer, RecoveryRoutes, CacheTransfers, ResumeLookup
*/
class PipelineSession final : public SessionDriver,
                              public std::enable_shared_from_this<PipelineSession> {
 public:
  PipelineSession(const SessionParts& parts,
                  SessionName session,
                  ChatRequest request,
                  std::optional<ResumePoint> resume,
                  std::weak_ptr<AnswerListener> listener);

  void Start() override;
  void Cancel() override;
  void LeaveDrainingServers() override;
  SessionStatus Status() const override;
  void OnStepAnswer(std::uint32_t hop, StepAnswer answer) override;

 private:
  bool IsFinished() const;

  // Normal operation.
  void StartOn(RouteChoice choice);
  void StartAttempt(const Route& route);
  void StartPass();
  void HandleToken(const SampledToken& token);
  bool AddToken(const SampledToken& token);
  void Deliver(const SampledToken& token);
  void Finish();
  void ScheduleStepWatchdog();

  // Recovery from failures.
  void HandleFailure(const StepAnswer& answer);
  void RecordFailure(const StepAnswer& answer);
  void Recover(StepStatus cause, std::uint32_t hop);
  bool MayRetryOn(StepStatus cause, const BackendServerName& server);
  void FindReplacementRoute(StepStatus cause, std::uint32_t hop);
  void UseReplacement(StepStatus cause, std::uint32_t hop, const RouteChoice& choice);
  void UpdateWasRun(StepStatus status);
  void EndRecovery();
  void Fail(Error error);

  // Moving off leaving servers.
  std::vector<std::size_t> LeavingHops() const;
  void MoveOffLeavingServers();
  Route RouteWithoutLeaving() const;
  void TransferCaches(const Route& route);
  void HandleTransfers(const Route& route,
                       AttemptNumber import_attempt,
                       const std::vector<CacheTransfers::Outcome>& outcomes);

  // Resuming a stream of another instance.
  void StartResume();
  void HandleLookupResult(const std::optional<FoundSession>& found);
  void ResumeFoundSession(const FoundSession& found);
  void Regenerate();

  RouteQuery MakeQuery() const;
  std::string RequiredVersion() const;
  void SwitchRoute(const Route& route);
  void ReleaseRoute();

  SessionParts m_parts;
  const SessionName m_session;
  const ChatRequest m_request;
  const std::optional<ResumePoint> m_resume;
  const std::weak_ptr<AnswerListener> m_listener;
  SessionRecords m_records;
  RecoveryRoutes m_routes;
  GeneratedAnswer m_answer;
  StepRelay m_relay;
  ResumePoint m_point;
  SessionState m_state = SessionState::kWaiting;
  Route m_route;
  RouteQuery m_query_sent;
  bool m_uses_route = false;
  AttemptNumber m_next_attempt;
  WasRun m_was_run = WasRun::kNo;
  TimePoint m_started_at{};
  TimePoint m_step_sent_at{};
  std::unique_ptr<ScheduledCall> m_step_watchdog;

  std::uint32_t m_recoveries = 0;
  std::uint32_t m_transfers = 0;
  std::set<BackendServerName> m_crashed_servers;
  std::set<BackendServerName> m_retried_servers;
  std::optional<std::size_t> m_isolated_until_tokens;
  std::optional<RecoveryTimes> m_recovery_times;
  TimePoint m_failure_noticed_at{};
  TimePoint m_rebuild_started_at{};
  TimePoint m_route_wait_ends{};
  TimePoint m_same_server_retry_at{};
  std::unique_ptr<ScheduledCall> m_route_wait;

  bool m_leave_requested = false;
  std::shared_ptr<CacheTransfers> m_cache_transfers;
  std::shared_ptr<ResumeLookup> m_lookup;
};

}  // namespace zinnia
