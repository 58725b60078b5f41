#include "zinnia_decisions/forwarding/crashes/part_quarantine.h"

namespace zinnia {

bool PartQuarantine::OnCrash(const CrashReport&) {
  return false;
}

void PartQuarantine::OnSurvived(const std::vector<Fingerprint>&, TimePoint) {}

void PartQuarantine::OnCleared(const ClearedRequest&) {}

std::vector<ClearedRequest> PartQuarantine::TakeCleared() {
  return {};
}

bool PartQuarantine::OnQuarantine(const QuarantineReport&) {
  return false;
}

std::optional<Fingerprint> PartQuarantine::FindQuarantined(const std::vector<Fingerprint>&) const {
  return std::nullopt;
}

std::optional<Duration> PartQuarantine::TimeUntilRelease(const std::vector<Fingerprint>&) const {
  return std::nullopt;
}

bool PartQuarantine::HasStrongSuspect(const std::vector<Fingerprint>&) const {
  return false;
}

std::vector<BackendServerName> PartQuarantine::CrashedServers(const Fingerprint&) const {
  return {};
}

QuarantineReport PartQuarantine::ReportOf(const Fingerprint& part) const {
  return {part, {}, {}, SuspectKind::kPromptPart};
}

std::vector<QuarantineReport> PartQuarantine::InForce(std::size_t) const {
  return {};
}

std::size_t PartQuarantine::CountInForce() const {
  return 0;
}

std::vector<Fingerprint> PartQuarantine::RemoveExpired() {
  return {};
}

}  // namespace zinnia
