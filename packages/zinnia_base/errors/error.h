#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "zinnia_base/errors/error_kind.h"
#include "zinnia_base/errors/was_run.h"

namespace zinnia {

/** A failure with its kind, a message, a remedy, whether the request was run and a retry delay.

    Returned in a Result or thrown as an ErrorException. Create one with MakeError, then set the
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

/** Creates an Error with the default remedy of its kind. */
Error MakeError(ErrorKind kind, std::string message);

/** Formats an error as "kind: message (remedy)" for logs and exceptions. */
std::string Describe(const Error& error);

}  // namespace zinnia
