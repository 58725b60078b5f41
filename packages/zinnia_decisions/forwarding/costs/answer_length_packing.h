#pragma once

#include <string>
#include <string_view>

#include "zinnia_decisions/forwarding/costs/answer_length_counts.h"

namespace zinnia {

/** Writes counts as one byte each, with a relative error of up to 3.6 percent. Bins below the first
    ended answer are left out; all answers have passed those. */
std::string PackAnswerLengths(const AnswerLengthCounts& counts);

/** Ignores what does not fit, as bytes come from another instance. */
AnswerLengthCounts UnpackAnswerLengths(std::string_view bytes);

}  // namespace zinnia
