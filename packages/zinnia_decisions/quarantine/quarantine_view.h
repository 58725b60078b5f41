#pragma once

#include "zinnia_base/hashing/fingerprint.h"

namespace zinnia {

/** Which requests are refused or treated with care because backend servers crashed under them. */
class QuarantineView {
 public:
  virtual ~QuarantineView() = default;
  virtual bool IsQuarantined(const Fingerprint& fingerprint) const = 0;
  virtual bool IsSuspect(const Fingerprint& fingerprint) const = 0;
};

}  // namespace zinnia
