#include "zinnia_adapters/forwarding/forward_outcomes.h"

#include <utility>

namespace zinnia {

bool IsSuccess(unsigned status) {
  return status >= 200 && status < 300;
}

bool IsPromise(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool MayHaveBody(unsigned status) {
  return status != 204 && status != 304;
}

Error NotRun(ErrorKind kind, std::string message) {
  Error error = MakeError(kind, std::move(message));
  error.was_run = WasRun::kNo;
  return error;
}

Error PerhapsRun(ErrorKind kind, std::string message) {
  Error error = MakeError(kind, std::move(message));
  error.was_run = WasRun::kUnknown;
  return error;
}

}  // namespace zinnia
