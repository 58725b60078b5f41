#include "zinnia_decisions/forwarding/crashes/part_quarantine.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

#include "zinnia_decisions/forwarding/crashes/part_evidence.h"

namespace zinnia {
namespace {

using part_evidence::kBegunWeight;
using part_evidence::kProofWeight;
using part_evidence::kUncertainWeight;
using part_evidence::LastOf;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** A stream that began this much before a quarantine, or later, contradicts it. */
constexpr Duration kContradictionTime = milliseconds(600);

/** Error of times that peers report. */
constexpr Duration kTimeTolerance = milliseconds(20);

/** Survivors are remembered for this long, or up to twice as long. */
constexpr Duration kSurvivorLifetime = std::chrono::seconds(10);

constexpr std::size_t kMaxSurvivors = 8'192;

/** Parts of which peers are told at once that a stream with them lives. */
constexpr std::size_t kMaxCleared = 64;

/** The part of the suspects that is evicted at once, as 1 in so many. */
constexpr std::size_t kEvictedPart = 8;

int WeightOfOne(CrashOnset onset) {
  return onset == CrashOnset::kBegun ? kBegunWeight : kUncertainWeight;
}

}  // namespace

bool PartQuarantine::OnCrash(const CrashReport& report) {
  const TimePoint at = m_clock.Now() - report.age;
  const bool is_plausible =
      report.age >= milliseconds(0) && m_clock.Now() - at < m_settings.evidence_lifetime;
  if (!is_plausible || report.onset == CrashOnset::kRunning) {
    return false;
  }
  const std::optional<Survivor> survivor = LastSurvivorOf(report.request);
  if (survivor && survivor->began_at >= at + kTimeTolerance) {
    if (survivor->is_own) {
      AddCleared(report.request, survivor->began_at);
    }
    return false;
  }
  Part& part = m_parts[report.request];
  if (!AddCrash(part, report, at)) {
    return false;
  }
  if (part.quarantine > Duration::zero() && at >= part.released_at) {
    Quarantine(report.request, std::min(part.quarantine * 2, m_settings.longest_quarantine));
  }
  EvictOverLimit();
  return true;
}

/** Returns whether the crash is new, or says more than was known of it. */
bool PartQuarantine::AddCrash(Part& part, const CrashReport& report, TimePoint at) {
  const int weight = WeightOfOne(report.onset);
  const auto [known, is_new] =
      part.crashes.try_emplace(report.server, Crash{at, weight, at - report.in_flight});
  if (is_new) {
    PartsAtCrash& crashed =
        m_parts_at.try_emplace(report.server, PartsAtCrash{at, 0}).first->second;
    crashed.at = std::max(crashed.at, at);
    ++crashed.count;
    return true;
  }
  Crash& crash = known->second;
  crash.at = std::min(crash.at, at);
  crash.sent_at = std::max(crash.sent_at, at - report.in_flight);
  return weight > std::exchange(crash.weight, std::max(crash.weight, weight));
}

void PartQuarantine::OnSurvived(const std::vector<Fingerprint>& parts, TimePoint began_at) {
  for (const Fingerprint& part : parts) {
    Vouch(part, {began_at, true});
  }
}

void PartQuarantine::OnCleared(const ClearedRequest& cleared) {
  if (cleared.age >= milliseconds(0)) {
    Vouch(cleared.request, {m_clock.Now() - cleared.age, false});
  }
}

void PartQuarantine::Vouch(const Fingerprint& fingerprint, const Survivor& survivor) {
  RememberSurvivor(fingerprint, survivor);
  const auto found = m_parts.find(fingerprint);
  if (found == m_parts.end()) {
    return;
  }
  m_verdicts.erase(fingerprint);
  Part& part = found->second;
  const std::size_t dropped = std::erase_if(part.crashes, [&survivor](const auto& crash) {
    return crash.second.at + kTimeTolerance <= survivor.began_at;
  });
  const bool is_refuted =
      part.quarantine > Duration::zero() && IsRefuted(part, survivor, dropped > 0);
  if (is_refuted) {
    part.quarantine = Duration::zero();
    part.cleared_at = m_clock.Now();
  }
  if (survivor.is_own && (dropped > 0 || is_refuted)) {
    AddCleared(fingerprint, survivor.began_at);
  }
  if (IsExpired(part)) {
    m_parts.erase(found);
  }
}

/** Whether a quarantine ends with this survivor. After its release it counts no longer against the
    part; in force it was wrong, if what is left doesn't prove it. */
bool PartQuarantine::IsRefuted(const Part& part,
                               const Survivor& survivor,
                               bool drops_crashes) const {
  if (survivor.began_at >= part.released_at) {
    return true;
  }
  const TimePoint quarantined_at = part.released_at - part.quarantine;
  return IsInForce(part) && WeightOf(part.crashes) < kProofWeight &&
         (drops_crashes || survivor.began_at > quarantined_at - kContradictionTime);
}

std::vector<ClearedRequest> PartQuarantine::TakeCleared() {
  std::vector<ClearedRequest> cleared;
  for (const auto& [part, began_at] : std::exchange(m_cleared, {})) {
    cleared.push_back(
        {part, duration_cast<milliseconds>(m_clock.Now() - began_at), SuspectKind::kPromptPart});
  }
  return cleared;
}

void PartQuarantine::AddCleared(const Fingerprint& part, TimePoint began_at) {
  if (m_cleared.size() < kMaxCleared || m_cleared.contains(part)) {
    m_cleared[part] = began_at;
  }
}

void PartQuarantine::RememberSurvivor(const Fingerprint& part, const Survivor& survivor) {
  const TimePoint now = m_clock.Now();
  if (now - m_survivors_since >= kSurvivorLifetime) {
    m_former_survivors = std::exchange(m_survivors, {});
    m_survivors_since = now;
  }
  const auto known = m_survivors.find(part);
  if (known != m_survivors.end()) {
    if (survivor.began_at > known->second.began_at) {
      known->second = survivor;
    }
  } else if (m_survivors.size() < kMaxSurvivors) {
    m_survivors.emplace(part, survivor);
  }
}

std::optional<PartQuarantine::Survivor> PartQuarantine::LastSurvivorOf(
    const Fingerprint& part) const {
  std::optional<Survivor> last;
  for (const Survivors* survivors : {&m_survivors, &m_former_survivors}) {
    const auto found = survivors->find(part);
    if (found != survivors->end() && (!last || found->second.began_at > last->began_at)) {
      last = found->second;
    }
  }
  return last;
}

bool PartQuarantine::OnQuarantine(const QuarantineReport& report) {
  const bool is_plausible = report.remaining > milliseconds(0) &&
                            report.remaining <= report.duration &&
                            report.duration <= m_settings.longest_quarantine;
  if (!is_plausible) {
    return false;
  }
  const TimePoint released_at = m_clock.Now() + report.remaining;
  const TimePoint quarantined_at = released_at - report.duration;
  const std::optional<Survivor> survivor = LastSurvivorOf(report.request);
  if (survivor && survivor->began_at > quarantined_at - kContradictionTime) {
    if (survivor->is_own) {
      AddCleared(report.request, survivor->began_at);
    }
    return false;
  }
  Part& part = m_parts[report.request];
  const bool was_cleared_since = part.cleared_at && quarantined_at <= *part.cleared_at;
  if (was_cleared_since || report.duration <= part.quarantine) {
    return false;
  }
  part.quarantine = report.duration;
  part.released_at = released_at;
  EvictOverLimit();
  return true;
}

std::optional<Fingerprint> PartQuarantine::FindQuarantined(
    const std::vector<Fingerprint>& parts) const {
  for (const Fingerprint& part : parts) {
    const auto found = m_parts.find(part);
    if (found != m_parts.end() && IsInForce(found->second)) {
      return part;
    }
  }
  return std::nullopt;
}

std::optional<Duration> PartQuarantine::TimeUntilRelease(
    const std::vector<Fingerprint>& parts) const {
  std::optional<Duration> longest;
  for (const Fingerprint& part : parts) {
    const auto found = m_parts.find(part);
    if (found != m_parts.end() && IsInForce(found->second)) {
      const Duration left = found->second.released_at + m_settings.release_delay - m_clock.Now();
      longest = std::max(longest.value_or(left), left);
    }
  }
  return longest;
}

std::vector<BackendServerName> PartQuarantine::CrashedServers(const Fingerprint& part) const {
  std::vector<BackendServerName> servers;
  const auto found = m_parts.find(part);
  if (found != m_parts.end()) {
    for (const auto& [server, crash] : found->second.crashes) {
      servers.push_back(server);
    }
  }
  return servers;
}

QuarantineReport PartQuarantine::ReportOf(const Fingerprint& part) const {
  const Part& quarantined = m_parts.at(part);
  assert(IsInForce(quarantined) && "only a part that is refused has a quarantine");
  return {part, duration_cast<milliseconds>(quarantined.released_at - m_clock.Now()),
          duration_cast<milliseconds>(quarantined.quarantine), SuspectKind::kPromptPart};
}

std::vector<QuarantineReport> PartQuarantine::InForce(std::size_t most) const {
  std::vector<std::pair<TimePoint, Fingerprint>> rows;
  for (const auto& [fingerprint, part] : m_parts) {
    if (IsInForce(part) && m_clock.Now() < part.released_at) {
      rows.emplace_back(part.released_at - part.quarantine, fingerprint);
    }
  }
  std::sort(rows.rbegin(), rows.rend());
  std::vector<QuarantineReport> reports;
  for (const auto& [since, fingerprint] : rows) {
    if (reports.size() < most) {
      reports.push_back(ReportOf(fingerprint));
    }
  }
  return reports;
}

std::size_t PartQuarantine::CountInForce() const {
  return static_cast<std::size_t>(std::count_if(
      m_parts.begin(), m_parts.end(), [this](const auto& part) { return IsInForce(part.second); }));
}

bool PartQuarantine::IsInForce(const Part& part) const {
  return part.quarantine > Duration::zero() &&
         m_clock.Now() < part.released_at + m_settings.release_delay;
}

/** A part that was quarantined is remembered after its release, so that one more crash is enough.
 */
bool PartQuarantine::IsExpired(const Part& part) const {
  const TimePoint now = m_clock.Now();
  if (part.quarantine > Duration::zero()) {
    return now >= part.released_at + m_settings.longest_quarantine;
  }
  return part.crashes.empty() &&
         (!part.cleared_at || now - *part.cleared_at >= m_settings.evidence_lifetime);
}

void PartQuarantine::Quarantine(const Fingerprint& fingerprint, Duration duration) {
  Part& part = m_parts.at(fingerprint);
  part.quarantine = duration;
  part.released_at = m_clock.Now() + duration;
  m_new_quarantines.push_back(fingerprint);
}

std::vector<Fingerprint> PartQuarantine::RemoveExpired() {
  const TimePoint now = m_clock.Now();
  for (auto& [fingerprint, part] : m_parts) {
    std::erase_if(part.crashes, [&](const auto& crash) {
      return now - crash.second.at >= m_settings.evidence_lifetime;
    });
  }
  std::erase_if(m_parts, [this](const auto& part) { return IsExpired(part.second); });
  std::erase_if(m_parts_at, [&](const auto& parts) {
    return now - parts.second.at >= m_settings.evidence_lifetime;
  });
  EndProbations();
  while (const std::optional<Fingerprint> guilty = FindGuilty()) {
    Quarantine(*guilty, m_settings.first_quarantine);
  }
  return std::exchange(m_new_quarantines, {});
}

/** Evicts several at once, since each search looks at all. */
void PartQuarantine::EvictOverLimit() {
  if (m_parts.size() <= m_settings.max_parts) {
    return;
  }
  std::vector<std::tuple<bool, TimePoint, Fingerprint>> order;
  order.reserve(m_parts.size());
  for (const auto& [fingerprint, part] : m_parts) {
    order.emplace_back(part.quarantine > Duration::zero(), LastOf(part.crashes), fingerprint);
  }
  const std::size_t evicted = std::min(order.size() - 1, m_parts.size() - m_settings.max_parts +
                                                             m_settings.max_parts / kEvictedPart);
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(evicted);
  std::nth_element(order.begin(), end, order.end());
  std::for_each(order.begin(), end,
                [this](const auto& row) { m_parts.erase(std::get<Fingerprint>(row)); });
}

}  // namespace zinnia
