#include "suspect_gate.h"

#include <utility>

#include "zinnia_decisions/control/instance_control.h"

namespace zinnia {
namespace {

/** Longer than any single step takes, so that a crash is known before the next try. */
constexpr std::chrono::seconds kClaimLasts{30};

/** When a suspect may come back: its hold is over by then, and its owner is agreed on. */
constexpr std::chrono::seconds kSuspectRetryAfter{6};

Error SuspectElsewhere() {
  Error error = MakeError(ErrorKind::kQuarantined,
                          "a backend server crashed while it ran this request; it is being tried "
                          "by one instance at a time");
  error.retry_after = kSuspectRetryAfter;
  return error;
}

}  // namespace

bool SuspectClaims::TryClaim(const Fingerprint& fingerprint) {
  const std::lock_guard lock(m_mutex);
  const TimePoint now = m_clock.Now();
  DropExpired(now);
  return m_claimed_until.emplace(fingerprint, now + kClaimLasts).second;
}

void SuspectClaims::DropExpired(TimePoint now) {
  std::erase_if(m_claimed_until, [now](const auto& claim) { return claim.second <= now; });
}

SuspectGate::SuspectGate(const InstanceControl& control,
                         SuspectClaims& claims,
                         RecoveryGate& budget)
    : m_control(control), m_claims(claims), m_budget(budget) {}

Result<void> SuspectGate::MayStart(const ChatRequest& request) {
  const auto quarantine = m_control.Quarantine();
  if (quarantine->IsSuspect(request.fingerprint) &&
      !(quarantine->MayStart(request.fingerprint) && m_claims.TryClaim(request.fingerprint))) {
    return SuspectElsewhere();
  }
  return m_budget.MayStart(request);
}

Result<void> SuspectGate::MayRecover(const ChatRequest& request,
                                     const BackendServerName& server,
                                     StepStatus cause,
                                     std::uint32_t crashes) {
  return m_budget.MayRecover(request, server, cause, crashes);
}

}  // namespace zinnia
