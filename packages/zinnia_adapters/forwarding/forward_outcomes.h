#pragma once

#include <string>

#include "zinnia_base/errors/error.h"

namespace zinnia {

/** Status from a server other than the intended one. */
inline constexpr unsigned kStatusMisdirected = 421;

bool IsSuccess(unsigned status);

/** Returns true for statuses that guarantee that the request was not and will not be run. */
bool IsPromise(unsigned status);

/** Returns false for statuses whose answers end with their head. */
bool MayHaveBody(unsigned status);

/** Creates an error for a request that no server has run. */
Error NotRun(ErrorKind kind, std::string message);

/** Creates an error for a request that may have run. */
Error PerhapsRun(ErrorKind kind, std::string message);

}  // namespace zinnia
