#include "zinnia_base/errors/error_kind.h"

#include <array>

namespace zinnia {
namespace {

struct ErrorKindRow {
  ErrorKind kind;
  std::string_view name;
  std::string_view remedy;
};

constexpr std::array kErrorKinds = {
    ErrorKindRow{ErrorKind::kInvalidRequest, "invalid_request",
                 "correct the request and send it again"},
    ErrorKindRow{ErrorKind::kUnauthorized, "unauthorized", "send a valid key of your organisation"},
    ErrorKindRow{ErrorKind::kForbidden, "forbidden", "ask the operators for the right to do this"},
    ErrorKindRow{ErrorKind::kNotFound, "not_found", "check the path and the name"},
    ErrorKindRow{ErrorKind::kUnknownModel, "unknown_model",
                 "choose a model that GET /v1/models lists"},
    ErrorKindRow{ErrorKind::kPayloadTooLarge, "payload_too_large",
                 "send a smaller body or smaller headers"},
    ErrorKindRow{ErrorKind::kRateLimited, "rate_limited",
                 "come back after the time given in Retry-After"},
    ErrorKindRow{ErrorKind::kOverloaded, "overloaded",
                 "come back after the time given in Retry-After"},
    ErrorKindRow{ErrorKind::kDeadlineUnmeetable, "deadline_unmeetable",
                 "allow more time or come back after Retry-After"},
    ErrorKindRow{ErrorKind::kDraining, "draining",
                 "send the request again; another instance takes it"},
    ErrorKindRow{
        ErrorKind::kNoPipeline, "no_pipeline",
        "operators: give the model a complete pipeline; callers: come back after Retry-After"},
    ErrorKindRow{ErrorKind::kQuarantined, "quarantined",
                 "change the request; this one has crashed backend servers"},
    ErrorKindRow{ErrorKind::kRetryBudgetSpent, "retry_budget_spent",
                 "come back after the time given in Retry-After"},
    ErrorKindRow{ErrorKind::kRecoveryFailed, "recovery_failed",
                 "resume with Last-Event-ID after Retry-After"},
    ErrorKindRow{ErrorKind::kResumeRefused, "resume_refused",
                 "send the request again without Last-Event-ID"},
    ErrorKindRow{ErrorKind::kResumeDiverged, "resume_diverged",
                 "drop what was received and send the request again without Last-Event-ID"},
    ErrorKindRow{ErrorKind::kOutcomeUnknown, "outcome_unknown",
                 "look up the outcome at the service before sending it again"},
    ErrorKindRow{ErrorKind::kKeyReused, "idempotency_key_reused",
                 "use a new Idempotency-Key for a different request"},
    ErrorKindRow{ErrorKind::kAlreadyRunning, "already_running",
                 "wait for the first request with this key, then ask again"},
    ErrorKindRow{ErrorKind::kStoreUnavailable, "store_unavailable",
                 "come back after the time given in Retry-After"},
    ErrorKindRow{ErrorKind::kStoreOutcomeUnknown, "store_outcome_unknown",
                 "read the record back before writing again"},
    ErrorKindRow{ErrorKind::kStoreConflict, "store_conflict",
                 "read the newer record and decide again"},
    ErrorKindRow{ErrorKind::kStoreHistoryLost, "store_history_lost",
                 "list all records and watch from there"},
    ErrorKindRow{ErrorKind::kRevisionConflict, "revision_conflict",
                 "read the newer revision and order the change against it"},
    ErrorKindRow{ErrorKind::kInvalidSettings, "invalid_settings",
                 "correct the named field of the settings file"},
    ErrorKindRow{ErrorKind::kInvalidCommand, "invalid_command",
                 "correct the command; 'help' lists the language"},
    ErrorKindRow{ErrorKind::kPeerUnavailable, "peer_unavailable",
                 "come back after the time given in Retry-After"},
    ErrorKindRow{ErrorKind::kBackendUnavailable, "backend_unavailable",
                 "come back after the time given in Retry-After"},
    ErrorKindRow{ErrorKind::kBackendTimeout, "backend_timeout",
                 "come back after the time given in Retry-After"},
    ErrorKindRow{ErrorKind::kBackendRejected, "backend_rejected",
                 "operators: compare the backend server's state with the configuration"},
    ErrorKindRow{ErrorKind::kCancelled, "cancelled",
                 "send the request again if it is still wanted"},
    ErrorKindRow{ErrorKind::kStaleEpoch, "stale_epoch",
                 "send the request again; another instance holds the role now"},
    ErrorKindRow{ErrorKind::kInternal, "internal", "report the request id to the operators"},
};

const ErrorKindRow& RowOf(ErrorKind kind) {
  for (const ErrorKindRow& row : kErrorKinds) {
    if (row.kind == kind) {
      return row;
    }
  }
  return kErrorKinds.back();
}

}  // namespace

std::string_view NameOf(ErrorKind kind) {
  return RowOf(kind).name;
}

std::string_view DefaultRemedyFor(ErrorKind kind) {
  return RowOf(kind).remedy;
}

}  // namespace zinnia
