#pragma once

#include <string>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/sessions/resume_token.h"
#include "zinnia_world/requests/chat_request.h"

namespace zinnia {

/** Decodes a Last-Event-ID and checks that its organisation and request match `request` and that
    it has not expired. Fails with kResumeRefused. */
Result<ResumePoint> OpenResumePoint(const ResumeTokenCodec& codec,
                                    const std::string& event_id,
                                    const ChatRequest& request,
                                    WallTimePoint now);

}  // namespace zinnia
