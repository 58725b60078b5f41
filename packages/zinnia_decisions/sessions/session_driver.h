#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/ports/stage_links.h"
#include "zinnia_decisions/sessions/resume_token.h"
#include "zinnia_world/requests/chat_request.h"

namespace zinnia {

class AnswerListener;
class Clock;
class DecisionRecorder;
class PipelineChooser;
class RecoveryGate;
class Scheduler;
class SnapshotSource;

/** Dependencies of a session. All must outlive the driver. */
struct SessionParts {
  Clock& clock;
  Scheduler& scheduler;
  StageLinks& links;
  PipelineChooser& chooser;
  SnapshotSource& snapshots;
  RecoveryGate& recovery_gate;
  const ResumeTokenCodec& resume_tokens;
  DecisionRecorder& recorder;
};

enum class SessionState {
  kWaiting,
  kPrefilling,
  kDecoding,
  kRecovering,
  kResuming,
  kDone,
  kFailed
};

std::string_view NameOf(SessionState state);

/** Session state reported to operators. */
struct SessionStatus {
  SessionName session;
  std::string request_id;
  OrganisationName organisation;
  ModelName model;
  SessionState state = SessionState::kWaiting;
  Route route;
  AttemptNumber attempt = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t delivered_tokens = 0;
  std::uint32_t recoveries = 0;
  TimePoint started_at{};
};

/** Generates one answer on the stages of a pipeline and recovers from stage failures.

    Each step is sent to the next stage with the hidden states of the previous one. After a failure,
    a new attempt replaces the failed stage and rebuilds its cache; tokens are delivered exactly
    once. Answers to older attempts are ignored. Not thread-safe: use it on one traffic thread.

    Keep the shared pointer and call Start. Call Cancel when the caller disconnects: the caches at
    all stages are released and the listener is not called any more.

    @see AnswerListener, StageLinks, ResumePoint
*/
class SessionDriver : public StepListener {
 public:
  /** `resume` is the validated resume point of a resumed stream. Tokens delivered before it are
      fetched or regenerated, verified by hash and not delivered again. */
  static std::shared_ptr<SessionDriver> Create(SessionParts parts,
                                               SessionName session,
                                               ChatRequest request,
                                               std::optional<ResumePoint> resume,
                                               std::weak_ptr<AnswerListener> listener);

  /** May report a refusal to the listener synchronously; all other calls are asynchronous. */
  virtual void Start() = 0;
  virtual void Cancel() = 0;

  /** Moves the session off the leaving servers of its route, if any, after the current token. */
  virtual void LeaveDrainingServers() = 0;

  virtual SessionStatus Status() const = 0;
};

}  // namespace zinnia
