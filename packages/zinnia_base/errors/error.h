#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "zinnia_base/errors/error_kind.h"
#include "zinnia_base/errors/was_run.h"

namespace zinnia {

/** A typed failure: what happened, what to do, whether the request was run, when to come back.

    Returned inside a Result, or thrown as an ErrorException. Build one with MakeError, then set the
    fields that differ from the defaults.

    @see Result, ErrorException, ErrorKind
*/
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::string remedy;
  WasRun was_run = WasRun::kNo;
  std::optional<std::chrono::milliseconds> retry_after;
};

/** An Error of that kind with the kind's default remedy. */
Error MakeError(ErrorKind kind, std::string message);

/** "kind: message (remedy)", for logs and exceptions. */
std::string Describe(const Error& error);

}  // namespace zinnia
