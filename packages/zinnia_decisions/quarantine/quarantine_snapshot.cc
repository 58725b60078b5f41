#include "zinnia_decisions/quarantine/quarantine_snapshot.h"

#include <utility>

namespace zinnia {

QuarantineSnapshot::QuarantineSnapshot(std::unordered_set<Fingerprint> quarantined,
                                       std::unordered_map<Fingerprint, bool> suspects)
    : m_quarantined(std::move(quarantined)), m_suspects(std::move(suspects)) {}

bool QuarantineSnapshot::IsQuarantined(const Fingerprint& fingerprint) const {
  return m_quarantined.contains(fingerprint);
}

bool QuarantineSnapshot::IsSuspect(const Fingerprint& fingerprint) const {
  return m_suspects.contains(fingerprint);
}

bool QuarantineSnapshot::MayStart(const Fingerprint& fingerprint) const {
  if (IsQuarantined(fingerprint)) {
    return false;
  }
  const auto suspect = m_suspects.find(fingerprint);
  return suspect == m_suspects.end() || suspect->second;
}

}  // namespace zinnia
