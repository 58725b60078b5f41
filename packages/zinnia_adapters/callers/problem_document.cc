#include "zinnia_adapters/callers/problem_document.h"

#include <array>
#include <boost/beast/http/field.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <utility>

namespace zinnia {
namespace {

namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::milliseconds;

struct StatusRow {
  ErrorKind kind;
  unsigned status;
  milliseconds retry_after;
};

constexpr milliseconds kNever{0};
constexpr milliseconds kSoon{1'000};
constexpr milliseconds kLater{5'000};

// An unknown outcome is 409 and not 502 or 504: generic clients repeat those by themselves.
constexpr std::array kStatuses = {
    StatusRow{ErrorKind::kInvalidRequest, 400, kNever},
    StatusRow{ErrorKind::kUnauthorized, 401, kNever},
    StatusRow{ErrorKind::kForbidden, 403, kNever},
    StatusRow{ErrorKind::kNotFound, 404, kNever},
    StatusRow{ErrorKind::kUnknownModel, 404, kNever},
    StatusRow{ErrorKind::kPayloadTooLarge, 413, kNever},
    StatusRow{ErrorKind::kRateLimited, 429, kSoon},
    StatusRow{ErrorKind::kOverloaded, 503, kSoon},
    StatusRow{ErrorKind::kDeadlineUnmeetable, 503, kSoon},
    StatusRow{ErrorKind::kDraining, 503, kSoon},
    StatusRow{ErrorKind::kNoPipeline, 503, kLater},
    StatusRow{ErrorKind::kQuarantined, 422, kNever},
    StatusRow{ErrorKind::kRetryBudgetSpent, 503, kLater},
    StatusRow{ErrorKind::kRecoveryFailed, 503, kSoon},
    StatusRow{ErrorKind::kResumeRefused, 409, kNever},
    StatusRow{ErrorKind::kResumeDiverged, 409, kNever},
    StatusRow{ErrorKind::kOutcomeUnknown, 409, kNever},
    StatusRow{ErrorKind::kKeyReused, 422, kNever},
    StatusRow{ErrorKind::kAlreadyRunning, 409, kSoon},
    StatusRow{ErrorKind::kStoreUnavailable, 503, kLater},
    StatusRow{ErrorKind::kStoreOutcomeUnknown, 503, kSoon},
    StatusRow{ErrorKind::kStoreConflict, 409, kNever},
    StatusRow{ErrorKind::kRevisionConflict, 409, kNever},
    StatusRow{ErrorKind::kPeerUnavailable, 503, kSoon},
    StatusRow{ErrorKind::kBackendUnavailable, 503, kSoon},
    StatusRow{ErrorKind::kBackendTimeout, 504, kSoon},
    StatusRow{ErrorKind::kBackendRejected, 502, kNever},
    StatusRow{ErrorKind::kCancelled, 503, kNever},
    StatusRow{ErrorKind::kStaleEpoch, 503, kSoon},
    StatusRow{ErrorKind::kInternal, 500, kNever},
};

const StatusRow& RowOf(ErrorKind kind) {
  for (const StatusRow& row : kStatuses) {
    if (row.kind == kind) {
      return row;
    }
  }
  return kStatuses.back();
}

std::string RetryAfterSeconds(milliseconds retry_after) {
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(retry_after).count());
}

}  // namespace

unsigned HttpStatusOf(ErrorKind kind) {
  return RowOf(kind).status;
}

Error WithRetryAfter(Error error) {
  const milliseconds usual = RowOf(error.kind).retry_after;
  if (!error.retry_after && usual != kNever) {
    error.retry_after = usual;
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
