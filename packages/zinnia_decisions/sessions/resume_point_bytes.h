#pragma once

#include <string>
#include <string_view>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/sessions/resume_token.h"

namespace zinnia {

/** The compact binary form of a resume point: numbers as variable-length integers, texts with
    their length in front. Appended to `bytes`. */
void AppendResumePoint(const ResumePoint& point, std::string& bytes);

/** Reads exactly that form, with nothing behind it. Fails with kResumeRefused. */
Result<ResumePoint> ParseResumePoint(std::string_view bytes);

}  // namespace zinnia
