#include "published_quarantine.h"

#include "zinnia_decisions/control/instance_control.h"

namespace zinnia {

bool PublishedQuarantine::IsQuarantined(const Fingerprint& fingerprint) const {
  return m_control.Quarantine()->IsQuarantined(fingerprint);
}

bool PublishedQuarantine::IsSuspect(const Fingerprint& fingerprint) const {
  return m_control.Quarantine()->IsSuspect(fingerprint);
}

}  // namespace zinnia
