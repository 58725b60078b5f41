#include "zinnia_decisions/sessions/session_driver.h"

#include <utility>

#include "zinnia_decisions/sessions/pipeline_session.h"

namespace zinnia {

std::string_view NameOf(SessionState state) {
  switch (state) {
    case SessionState::kWaiting:
      return "waiting";
    case SessionState::kPrefilling:
      return "prefilling";
    case SessionState::kDecoding:
      return "decoding";
    case SessionState::kRecovering:
      return "recovering";
    case SessionState::kResuming:
      return "resuming";
    case SessionState::kDone:
      return "done";
    case SessionState::kFailed:
      break;
  }
  return "failed";
}

std::shared_ptr<SessionDriver> SessionDriver::Create(SessionParts parts,
                                                     SessionName session,
                                                     ChatRequest request,
                                                     std::optional<ResumePoint> resume,
                                                     std::weak_ptr<AnswerListener> listener) {
  // Stages key their caches by session name, so a resumed stream keeps its original name.
  SessionName name = resume ? resume->session : std::move(session);
  if (resume) {
    request.seed = resume->seed;
  }
  return std::make_shared<PipelineSession>(parts, std::move(name), std::move(request),
                                           std::move(resume), std::move(listener));
}

}  // namespace zinnia
