#pragma once

#include <string>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/sessions/resume_token.h"
#include "zinnia_world/requests/chat_request.h"

namespace zinnia {

/** Opens an event id that came back as Last-Event-ID and checks that it may resume `request`: same
    organisation, same request, not expired. Fails with kResumeRefused. Give the result to
    SessionDriver::Create. */
Result<ResumePoint> OpenResumePoint(const ResumeTokenCodec& codec,
                                    const std::string& event_id,
                                    const ChatRequest& request,
                                    WallTimePoint now);

}  // namespace zinnia
