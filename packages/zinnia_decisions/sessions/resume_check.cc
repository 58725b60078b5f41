#include "zinnia_decisions/sessions/resume_check.h"

namespace zinnia {

Result<ResumePoint> OpenResumePoint(const ResumeTokenCodec& codec,
                                    const std::string& event_id,
                                    const ChatRequest& request,
                                    WallTimePoint now) {
  auto point = codec.Open(event_id);
  if (!point) {
    return point;
  }
  // One message for both cases, so that callers cannot probe for other organisations' ids.
  if (point->organisation != request.organisation || point->request != request.fingerprint) {
    return MakeError(ErrorKind::kResumeRefused, "the event id belongs to another request");
  }
  const auto now_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
  if (now_ms > point->expires_at_unix_ms) {
    return MakeError(ErrorKind::kResumeRefused, "the event id has expired");
  }
  return point;
}

}  // namespace zinnia
