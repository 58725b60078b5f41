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
  if (point->organisation != request.organisation) {
    return MakeError(ErrorKind::kResumeRefused, "the event id is of another organisation");
  }
  if (point->request != request.fingerprint || point->route.model != request.model) {
    return MakeError(ErrorKind::kResumeRefused, "the event id is of another request");
  }
  const auto now_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
  if (now_ms > point->expires_at_unix_ms) {
    return MakeError(ErrorKind::kResumeRefused, "the event id has expired");
  }
  return point;
}

}  // namespace zinnia
