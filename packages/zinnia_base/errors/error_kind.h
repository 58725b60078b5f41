#pragma once

#include <string_view>

namespace zinnia {

/** The kinds of failure reported to callers and operators and between internal layers.

    Every kind has a stable name, used in problem documents, logs and docs/OPERATIONS.md, and a
    default remedy. Add new kinds here and to the table in error_kind.cc. Never reuse a name for a
    different meaning.

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

/** Returns one sentence that tells the recipient of the error how to proceed. */
std::string_view DefaultRemedyFor(ErrorKind kind);

}  // namespace zinnia
