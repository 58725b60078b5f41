#pragma once

#include <memory>
#include <mutex>
#include <unordered_map>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/sessions/recovery_gate.h"

namespace zinnia {

class InstanceControl;

/** Which suspect requests this instance is trying anew. Shared by its traffic threads.

    A request that was on a crashed server may be tried again by one instance only, and there once
   at a time. Without this, two copies of a request that crashes servers, sent through two
   connections of one instance, would take down two further servers at once. Claims run out by
   themselves.
*/
class SuspectClaims {
 public:
  explicit SuspectClaims(const Clock& clock) : m_clock(clock) {}

  /** Returns whether the caller may try it now. */
  bool TryClaim(const Fingerprint& fingerprint);

 private:
  void DropExpired(TimePoint now);

  const Clock& m_clock;
  std::mutex m_mutex;
  std::unordered_map<Fingerprint, TimePoint> m_claimed_until;
};

/** The quarantine in front of the retry budget, for one traffic thread. Reads the picture that the
    control thread published last.

    @see CrashQuarantine, BudgetedRecoveryGate
*/
class SuspectGate final : public RecoveryGate {
 public:
  SuspectGate(const InstanceControl& control, SuspectClaims& claims, RecoveryGate& budget);

  Result<void> MayStart(const ChatRequest& request) override;
  Result<void> MayRecover(const ChatRequest& request,
                          const BackendServerName& server,
                          StepStatus cause,
                          std::uint32_t crashes) override;

 private:
  const InstanceControl& m_control;
  SuspectClaims& m_claims;
  RecoveryGate& m_budget;
};

}  // namespace zinnia
