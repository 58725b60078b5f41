#pragma once

#include <string>

#include "zinnia_base/errors/error.h"

namespace zinnia {

/** The answer of a server that is not the one that the request was meant for. */
inline constexpr unsigned kStatusMisdirected = 421;

bool IsSuccess(unsigned status);

/** Statuses that promise that a request was not run and never will be. */
bool IsPromise(unsigned status);

/** An error for a request that no server has run. */
Error NotRun(ErrorKind kind, std::string message);

/** An error for a request of which nobody knows whether it was run: nothing may be promised. */
Error PerhapsRun(ErrorKind kind, std::string message);

}  // namespace zinnia
