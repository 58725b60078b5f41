#pragma once

#include <string>
#include <string_view>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/sessions/resume_token.h"

namespace zinnia {

/** Appends the binary encoding of a resume point to `bytes`: variable-length integers and
    length-prefixed strings. */
void AppendResumePoint(const ResumePoint& point, std::string& bytes);

/** Decodes a resume point. Fails with kResumeRefused on malformed input or trailing bytes. */
Result<ResumePoint> ParseResumePoint(std::string_view bytes);

}  // namespace zinnia
