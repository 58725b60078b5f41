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

/** The objects that a session works with. All must outlive the driver. */
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

/** What operators see of a session. */
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

/** Drives one answer through the stages of a pipeline, token by token, and through failures.

    Sends each step to the next stage with the state that the stage before gave, delivers each token
    once to the listener, and after a failure starts a new attempt: replaces the failed stage,
    rebuilds its cache, never sends or changes a delivered token again. Answers of older attempts
   are dropped by their number. Lives on one traffic thread.

    Create it, keep the shared pointer, call Start. Cancel when the caller is gone: the caches at
   all stages are released and the listener hears nothing more.

    @see AnswerListener, StageLinks, ResumePoint
*/
class SessionDriver : public StepListener {
 public:
  /** For a resumed stream, `resume` is the opened and checked token: tokens up to its count are
      regenerated or fetched, compared by hash, and not delivered again. */
  static std::shared_ptr<SessionDriver> Create(SessionParts parts,
                                               SessionName session,
                                               ChatRequest request,
                                               std::optional<ResumePoint> resume,
                                               std::weak_ptr<AnswerListener> listener);

  /** A refusal may reach the listener from inside this call; everything else comes later. */
  virtual void Start() = 0;
  virtual void Cancel() = 0;

  /** Moves the session off servers that are leaving, between two tokens. Does nothing if its route
      has none. */
  virtual void LeaveDrainingServers() = 0;

  virtual SessionStatus Status() const = 0;
};

}  // namespace zinnia
