#pragma once

#include "zinnia_decisions/quarantine/quarantine_view.h"

namespace zinnia {

class InstanceControl;

/** The quarantine as the control thread published it last. Safe from any thread. */
class PublishedQuarantine final : public QuarantineView {
 public:
  explicit PublishedQuarantine(const InstanceControl& control) : m_control(control) {}
  bool IsQuarantined(const Fingerprint& fingerprint) const override;
  bool IsSuspect(const Fingerprint& fingerprint) const override;

 private:
  const InstanceControl& m_control;
};

}  // namespace zinnia
