#include "zinnia_decisions/admission/budgeted_recovery_gate.h"

#include <fmt/format.h>

#include "zinnia_decisions/admission/retry_budget.h"
#include "zinnia_decisions/quarantine/quarantine_view.h"

namespace zinnia {
namespace {

/** Number of distinct crashed servers after which a request is not retried. */
constexpr std::uint32_t kCrashesToQuarantine = 2;

Error Quarantined(const ChatRequest& request, WasRun was_run) {
  Error error =
      MakeError(ErrorKind::kQuarantined,
                fmt::format("request \"{}\" has crashed backend servers", request.request_id));
  error.was_run = was_run;
  return error;
}

}  // namespace

Result<void> BudgetedRecoveryGate::MayStart(const ChatRequest& request) {
  if (m_quarantine.IsQuarantined(request.fingerprint)) {
    return Quarantined(request, WasRun::kNo);
  }
  m_budget.OnFirstAttempt(request.organisation, request.model);
  return {};
}

Result<void> BudgetedRecoveryGate::MayRecover(const ChatRequest& request,
                                              const BackendServerName& server,
                                              StepStatus cause,
                                              std::uint32_t crashes) {
  if (crashes >= kCrashesToQuarantine || m_quarantine.IsQuarantined(request.fingerprint)) {
    return Quarantined(request, WasRun::kUnknown);
  }
  if (cause == StepStatus::kLeaving || m_budget.TrySpend(request.organisation, request.model)) {
    return {};
  }
  Error error = MakeError(
      ErrorKind::kRetryBudgetSpent,
      fmt::format(
          "backend server \"{}\" failed ({}) and organisation \"{}\" has no retry budget left",
          server, NameOf(cause), request.organisation));
  error.was_run = WasRun::kUnknown;
  error.retry_after = m_budget.TimeToNextToken();
  return error;
}

}  // namespace zinnia
