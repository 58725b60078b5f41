#include "zinnia_base/errors/error.h"

#include <fmt/format.h>

#include <utility>

namespace zinnia {

Error MakeError(ErrorKind kind, std::string message) {
  Error error;
  error.kind = kind;
  error.message = std::move(message);
  error.remedy = std::string(DefaultRemedyFor(kind));
  return error;
}

std::string Describe(const Error& error) {
  return fmt::format("{}: {} ({})", NameOf(error.kind), error.message, error.remedy);
}

}  // namespace zinnia
