#pragma once

#include "zinnia_base/hashing/fingerprint.h"

namespace zinnia {

/** Which requests have crashed backend servers, as far as this instance knows.

    A request is suspect after a crash on one backend server and quarantined after crashes on two
    distinct ones, until the entry expires. Safe to call from traffic threads.

    @see BudgetedRecoveryGate
*/
class QuarantineView {
 public:
  virtual ~QuarantineView() = default;
  virtual bool IsQuarantined(const Fingerprint& fingerprint) const = 0;
  virtual bool IsSuspect(const Fingerprint& fingerprint) const = 0;
};

}  // namespace zinnia
