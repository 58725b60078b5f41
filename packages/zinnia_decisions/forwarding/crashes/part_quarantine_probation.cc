#include "zinnia_decisions/forwarding/crashes/part_quarantine.h"

#include <algorithm>
#include <iterator>

#include "zinnia_decisions/forwarding/crashes/part_evidence.h"

// Requests with suspected parts, in PartQuarantine.

namespace zinnia {
namespace {

using part_evidence::kLeastMomentsOfSuspect;
using part_evidence::kLeastTrials;
using part_evidence::LastOf;
using std::chrono::milliseconds;

/** After the end of a server, no trial is sent for this long with a suspect that was there. */
constexpr Duration kTrialPause = milliseconds(600);

/** The same once there are enough trials, for each that is beyond need: the proof waits for what
    else peers tell, or for one that tells two parts apart. */
constexpr Duration kPauseBeforeProof = milliseconds(2'000);

/** How long a part stays as it was found, on probation or not. */
constexpr Duration kVerdictLifetime = milliseconds(50);

}  // namespace

std::vector<Fingerprint> PartQuarantine::SuspectsAmong(
    const std::vector<Fingerprint>& parts) const {
  std::vector<Fingerprint> suspects;
  std::copy_if(parts.begin(), parts.end(), std::back_inserter(suspects),
               [this](const Fingerprint& part) { return IsOnProbation(part); });
  return suspects;
}

bool PartQuarantine::MustWait(const std::vector<Fingerprint>& parts) {
  const std::vector<Fingerprint> suspects = SuspectsAmong(parts);
  bool must_wait = false;
  for (const Fingerprint& suspect : suspects) {
    m_probation.Watch(suspect);
    must_wait |= IsTrialNews(m_parts.at(suspect), m_probation.TurnAge()) ||
                 !m_probation.HasTurn(suspect, suspects.size() == 1);
  }
  return must_wait;
}

void PartQuarantine::OnSent(const std::vector<Fingerprint>& parts) {
  for (const Fingerprint& suspect : SuspectsAmong(parts)) {
    m_probation.TakeTurn(suspect);
  }
}

bool PartQuarantine::IsOnProbation(const Fingerprint& fingerprint) const {
  const auto part = m_parts.find(fingerprint);
  if (part == m_parts.end() || part->second.crashes.size() < kLeastMomentsOfSuspect) {
    return false;
  }
  const TimePoint now = m_clock.Now();
  const auto [verdict, is_new] = m_verdicts.try_emplace(fingerprint);
  if (is_new || now - verdict->second.at >= kVerdictLifetime) {
    verdict->second = {now, IsUnexplained(part->second)};
  }
  return verdict->second.is_on_probation;
}

/** Whether it was in several moments in which no suspect was that explains more. */
bool PartQuarantine::IsUnexplained(const Part& part) const {
  return EvidenceOf(UnexplainedByRivals(part)).moments >= kLeastMomentsOfSuspect;
}

void PartQuarantine::EndProbations() {
  m_verdicts.clear();
  m_probation.ForgetIf([this](const Fingerprint& part) { return !IsOnProbation(part); });
}

/** A trial that ended its server has said enough until all know of it. The instance whose turn came
    last goes on first, so that those that wait do not go on together. */
bool PartQuarantine::IsTrialNews(const Part& part, Duration turn_age) const {
  const int beyond_need = EvidenceOf(part.crashes).trials - kLeastTrials + 1;
  const bool may_be_proof = beyond_need > 0 && IsOverLongEnough(part.crashes);
  const Duration pause = may_be_proof ? kPauseBeforeProof * beyond_need : kTrialPause;
  return m_clock.Now() - LastOf(part.crashes) < pause + turn_age;
}

}  // namespace zinnia
