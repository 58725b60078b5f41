#include "zinnia_adapters/operators/problem_document.h"

#include <boost/json.hpp>

namespace zinnia {
namespace {

namespace json = boost::json;

std::string StringAt(const json::object& object, const char* field) {
  const json::value* value = object.if_contains(field);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

ErrorKind KindFromName(std::string_view name) {
  for (int index = 0; index <= static_cast<int>(ErrorKind::kInternal); ++index) {
    const auto kind = static_cast<ErrorKind>(index);
    if (NameOf(kind) == name) {
      return kind;
    }
  }
  return ErrorKind::kInternal;
}

}  // namespace

unsigned HttpStatusOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidRequest:
    case ErrorKind::kInvalidCommand:
    case ErrorKind::kInvalidSettings:
      return 400;
    case ErrorKind::kUnauthorized:
      return 401;
    case ErrorKind::kForbidden:
      return 403;
    case ErrorKind::kNotFound:
    case ErrorKind::kUnknownModel:
      return 404;
    case ErrorKind::kRevisionConflict:
    case ErrorKind::kStoreConflict:
    case ErrorKind::kStaleEpoch:
      return 409;
    case ErrorKind::kPayloadTooLarge:
      return 413;
    case ErrorKind::kStoreUnavailable:
    case ErrorKind::kOverloaded:
    case ErrorKind::kDraining:
    case ErrorKind::kPeerUnavailable:
      return 503;
    case ErrorKind::kStoreOutcomeUnknown:
    case ErrorKind::kOutcomeUnknown:
      return 504;
    default:
      return 500;
  }
}

std::string WriteProblem(const Error& error, unsigned status) {
  json::object problem{{"title", NameOf(error.kind)},     {"status", status},
                       {"detail", error.message},         {"kind", NameOf(error.kind)},
                       {"message", error.message},        {"remedy", error.remedy},
                       {"was_run", NameOf(error.was_run)}};
  if (error.retry_after) {
    problem["retry_after_ms"] = error.retry_after->count();
  }
  return json::serialize(problem) + "\n";
}

Error ReadProblem(const std::string& text) {
  boost::system::error_code parse_error;
  const json::value value = json::parse(text, parse_error);
  if (parse_error || !value.is_object() || !value.as_object().contains("kind")) {
    return MakeError(ErrorKind::kInternal, "the answer is not a problem document: " + text);
  }
  const json::object& problem = value.as_object();
  Error error = MakeError(KindFromName(StringAt(problem, "kind")), StringAt(problem, "message"));
  error.remedy = StringAt(problem, "remedy");
  return error;
}

}  // namespace zinnia
