#pragma once

#include <unordered_map>
#include <unordered_set>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/quarantine/quarantine_view.h"

namespace zinnia {

/** An immutable picture of the quarantine for the traffic threads.

    Entries do not run out by themselves: CrashQuarantine publishes a new picture when they do.

    @see CrashQuarantine
*/
class QuarantineSnapshot final : public QuarantineView {
 public:
  QuarantineSnapshot() = default;
  QuarantineSnapshot(std::unordered_set<Fingerprint> quarantined,
                     std::unordered_map<Fingerprint, bool> suspects);

  bool IsQuarantined(const Fingerprint& fingerprint) const override;
  bool IsSuspect(const Fingerprint& fingerprint) const override;

  /** Whether a request that is not running yet may be started through this instance. A suspect may
      be started by one instance only, its owner, so that copies which a caller sends through two
      instances cannot take down two servers at once. Refuse with kQuarantined and Retry-After.
      @see CrashQuarantine::Claim */
  bool MayStart(const Fingerprint& fingerprint) const;

 private:
  std::unordered_set<Fingerprint> m_quarantined;
  std::unordered_map<Fingerprint, bool> m_suspects;
};

}  // namespace zinnia
