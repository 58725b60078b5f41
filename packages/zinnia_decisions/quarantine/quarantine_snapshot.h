#pragma once

#include <unordered_map>
#include <unordered_set>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/quarantine/quarantine_view.h"

namespace zinnia {

/** An immutable snapshot of the quarantine for the traffic threads.

    Entries do not expire here: a new snapshot is built when they expire in CrashQuarantine.

    @see CrashQuarantine
*/
class QuarantineSnapshot final : public QuarantineView {
 public:
  QuarantineSnapshot() = default;
  QuarantineSnapshot(std::unordered_set<Fingerprint> quarantined,
                     std::unordered_map<Fingerprint, bool> suspects);

  bool IsQuarantined(const Fingerprint& fingerprint) const override;
  bool IsSuspect(const Fingerprint& fingerprint) const override;

  /** Whether this instance may start a request that is not running yet. Only its owner may start
      a suspect, so that duplicates sent through two instances cannot crash two servers at once.
      If false, refuse the request with kQuarantined and Retry-After.
      @see CrashQuarantine::Claim */
  bool MayStart(const Fingerprint& fingerprint) const;

 private:
  std::unordered_set<Fingerprint> m_quarantined;
  std::unordered_map<Fingerprint, bool> m_suspects;
};

}  // namespace zinnia
