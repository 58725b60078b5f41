#pragma once

#include "zinnia_base/hashing/fingerprint.h"

namespace zinnia {

/** Read access to the requests that are quarantined or suspected of crashing backend servers. */
class QuarantineView {
 public:
  virtual ~QuarantineView() = default;
  virtual bool IsQuarantined(const Fingerprint& fingerprint) const = 0;
  virtual bool IsSuspect(const Fingerprint& fingerprint) const = 0;
};

}  // namespace zinnia
