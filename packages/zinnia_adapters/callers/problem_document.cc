#include "zinnia_adapters/callers/problem_document.h"

#include <boost/beast/http/field.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <utility>

namespace zinnia {
namespace {

namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::milliseconds;

std::string RetryAfterSeconds(milliseconds retry_after) {
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(retry_after).count());
}

}  // namespace

Error WithRetryAfter(Error error) {
  if (!error.retry_after) {
    error.retry_after = UsualRetryAfter(error.kind);
  }
  return error;
}

std::string ProblemJson(const Error& error) {
  const Error complete = WithRetryAfter(error);
  json::object problem = {{"type", "urn:zinniastage:error:" + std::string(NameOf(error.kind))},
                          {"title", NameOf(error.kind)},
                          {"status", HttpStatusOf(error.kind)},
                          {"kind", NameOf(error.kind)},
                          {"detail", error.message},
                          {"remedy", error.remedy},
                          {"was_run", NameOf(error.was_run)}};
  if (complete.retry_after) {
    problem["retry_after_ms"] = complete.retry_after->count();
  }
  return json::serialize(problem);
}

CallerResponse MakeProblemResponse(const Error& error) {
  CallerResponse response = MakeJsonResponse(HttpStatusOf(error.kind), ProblemJson(error));
  response.set(http::field::content_type, "application/problem+json");
  if (const auto retry_after = WithRetryAfter(error).retry_after) {
    response.set(http::field::retry_after, RetryAfterSeconds(*retry_after));
  }
  if (error.kind == ErrorKind::kUnauthorized) {
    response.set(http::field::www_authenticate, "Bearer");
  }
  return response;
}

CallerResponse MakeJsonResponse(unsigned status, std::string body) {
  CallerResponse response(static_cast<http::status>(status), 11);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(body);
  return response;
}

}  // namespace zinnia
