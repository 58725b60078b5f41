#pragma once

#include <string_view>

namespace zinnia {

/** The kinds of failure that zinniastage reports to callers, operators and its own layers.

    Every kind has a stable name (in problem documents, logs and docs/OPERATIONS.md) and a default
    remedy. Add a kind here and in the table of error_kind.cc; never reuse a name for a new meaning.

    @see Error
*/
enum class ErrorKind {
  kInvalidRequest,
  kUnauthorized,
  kForbidden,
  kNotFound,
  kUnknownModel,
  kPayloadTooLarge,
  kRateLimited,
  kOverloaded,
  kDeadlineUnmeetable,
  kDraining,
  kNoPipeline,
  kQuarantined,
  kRetryBudgetSpent,
  kRecoveryFailed,
  kResumeRefused,
  kResumeDiverged,
  kOutcomeUnknown,
  kKeyReused,
  kAlreadyRunning,
  kStoreUnavailable,
  kStoreOutcomeUnknown,
  kStoreConflict,
  kStoreHistoryLost,
  kRevisionConflict,
  kInvalidSettings,
  kInvalidCommand,
  kPeerUnavailable,
  kBackendUnavailable,
  kBackendTimeout,
  kBackendRejected,
  kCancelled,
  kStaleEpoch,
  kInternal,
};

std::string_view NameOf(ErrorKind kind);

/** What somebody who meets this kind can do about it, in one sentence. */
std::string_view DefaultRemedyFor(ErrorKind kind);

}  // namespace zinnia
