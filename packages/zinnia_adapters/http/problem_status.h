#pragma once

#include <chrono>
#include <optional>

#include "zinnia_base/errors/error_kind.h"

namespace zinnia {

/** The HTTP status that stands for this kind of error, towards callers and operators alike. */
unsigned HttpStatusOf(ErrorKind kind);

/** When to come back after an error of this kind, if that helps and the error itself says nothing.
 */
std::optional<std::chrono::milliseconds> UsualRetryAfter(ErrorKind kind);

}  // namespace zinnia
