#include "zinnia_adapters/http/problem_status.h"

#include <array>

namespace zinnia {
namespace {

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
    StatusRow{ErrorKind::kStoreHistoryLost, 410, kNever},
    StatusRow{ErrorKind::kRevisionConflict, 409, kNever},
    StatusRow{ErrorKind::kPeerUnavailable, 503, kSoon},
    StatusRow{ErrorKind::kBackendUnavailable, 503, kSoon},
    StatusRow{ErrorKind::kBackendTimeout, 504, kSoon},
    StatusRow{ErrorKind::kBackendRejected, 502, kNever},
    StatusRow{ErrorKind::kCancelled, 503, kNever},
    StatusRow{ErrorKind::kStaleEpoch, 503, kSoon},
    StatusRow{ErrorKind::kInvalidSettings, 400, kNever},
    StatusRow{ErrorKind::kInvalidCommand, 400, kNever},
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

}  // namespace

unsigned HttpStatusOf(ErrorKind kind) {
  return RowOf(kind).status;
}

std::optional<milliseconds> UsualRetryAfter(ErrorKind kind) {
  const milliseconds usual = RowOf(kind).retry_after;
  return usual == kNever ? std::nullopt : std::optional(usual);
}

}  // namespace zinnia
