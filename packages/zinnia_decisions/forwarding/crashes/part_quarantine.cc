#include "zinnia_decisions/forwarding/crashes/part_quarantine.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <tuple>
#include <utility>

namespace zinnia {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Servers that end closer together than this may have a common cause. */
constexpr Duration kCommonCauseWindow = milliseconds(200);

/** What a moment counts in which a server ended under a request with the part: one whose stream had
    just begun, and one of which nothing shows whether it had. */
constexpr int kBegunWeight = 2;
constexpr int kUncertainWeight = 1;

/** A crash at which more parts began than this counts like one of which nothing shows that the
    request had begun: where servers end one after the other, all requests begin at the rest. */
constexpr std::size_t kMaxPartsThatBegan = 16;

/** Four moments with requests that had just begun. */
constexpr std::size_t kLeastStarts = 4;
constexpr int kProofWeight = static_cast<int>(kLeastStarts) * kBegunWeight;

/** What a moment counts in which a request was in flight that was sent on probation: few others
   were sent with the part, so that the end of just its server is no chance. */
constexpr int kTrialWeight = 4;

/** Moments with such requests that prove a part although no other stream lived meanwhile. */
constexpr int kLeastTrials = 2;

/** A part is on probation at all instances so long after the crash that made it a suspect. */
constexpr Duration kProbationNewsTime = milliseconds(450);

/** The same for parts that were always there together, so that either may be the cause. */
constexpr int kProofWeightOfTie = 3 * kProofWeight;

/** After the end of a server, no trial is sent for this long with a suspect that was there. */
constexpr Duration kTrialPause = milliseconds(600);

/** The same once there are enough trials, for each that is beyond need: the proof waits for what
    else peers tell, or for one that tells two parts apart. */
constexpr Duration kPauseBeforeProof = milliseconds(2'000);

/** Moments after which a part is on probation, whatever they count. */
constexpr int kLeastMomentsOfSuspect = 2;

/** How long a part stays as it was found, on probation or not. */
constexpr Duration kVerdictLifetime = milliseconds(50);

/** A request with the part is not sent a second time by ourselves. */
constexpr int kStrongWeight = 2 * kBegunWeight;

/** A crash proves nothing before peers have told which of their requests it met: another part may
    explain it. */
constexpr Duration kCrashNewsTime = milliseconds(550);

/** Crashes over a longer time have no common cause: all servers may end of something else, but not
    again as soon as they are back. */
constexpr Duration kLongestPoolLoss = std::chrono::seconds(2);

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

template <typename Crashes>
TimePoint FirstOf(const Crashes& crashes) {
  TimePoint first = TimePoint::max();
  for (const auto& [server, crash] : crashes) {
    first = std::min(first, crash.at);
  }
  return first;
}

template <typename Crashes>
TimePoint LastOf(const Crashes& crashes) {
  TimePoint last{};
  for (const auto& [server, crash] : crashes) {
    last = std::max(last, crash.at);
  }
  return last;
}

template <typename Crashes>
void Subtract(const Crashes& explained, Crashes& crashes) {
  std::erase_if(crashes,
                [&explained](const auto& crash) { return explained.contains(crash.first); });
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

/** What the crashes say together; those of one moment count once. */
PartQuarantine::Evidence PartQuarantine::EvidenceOf(const Crashes& crashes) const {
  std::vector<std::pair<TimePoint, BackendServerName>> in_order;
  in_order.reserve(crashes.size());
  for (const auto& [server, crash] : crashes) {
    in_order.emplace_back(crash.at, server);
  }
  std::sort(in_order.begin(), in_order.end());
  Evidence sum;
  int weight_of_moment = 0;
  std::optional<TimePoint> moment;
  std::optional<TimePoint> suspected_at;
  const auto end_moment = [&] {
    sum.weight += weight_of_moment;
    sum.trials += weight_of_moment == kTrialWeight ? 1 : 0;
    weight_of_moment = 0;
    sum.moments += moment ? 1 : 0;
    if (!suspected_at && sum.moments >= kLeastMomentsOfSuspect) {
      suspected_at = moment;
    }
  };
  for (const auto& [at, server] : in_order) {
    if (!moment || at - *moment >= kCommonCauseWindow) {
      end_moment();
      moment = at;
    }
    weight_of_moment =
        std::max(weight_of_moment, WeightOfCrash(server, crashes.at(server), suspected_at));
  }
  end_moment();
  return sum;
}

int PartQuarantine::WeightOfCrash(const BackendServerName& server,
                                  const Crash& crash,
                                  std::optional<TimePoint> suspected_at) const {
  if (suspected_at && crash.sent_at >= *suspected_at + kProbationNewsTime) {
    return kTrialWeight;
  }
  const auto parts = m_parts_at.find(server);
  const bool is_crowded = parts != m_parts_at.end() && parts->second.count > kMaxPartsThatBegan;
  return is_crowded ? kUncertainWeight : crash.weight;
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

bool PartQuarantine::HasStrongSuspect(const std::vector<Fingerprint>& parts) const {
  return std::any_of(parts.begin(), parts.end(), [this](const Fingerprint& part) {
    const auto found = m_parts.find(part);
    return found != m_parts.end() && IsStrongSuspect(found->second);
  });
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

/** The crashes at which no other part was that is refused by now. */
PartQuarantine::Crashes PartQuarantine::Unexplained(const Part& part) const {
  Crashes crashes = part.crashes;
  for (const auto& [fingerprint, other] : m_parts) {
    if (&other != &part && IsInForce(other)) {
      Subtract(other.crashes, crashes);
    }
  }
  return crashes;
}

/** Without those of which peers may not have told yet what else they met. */
PartQuarantine::Crashes PartQuarantine::Settled(Crashes crashes) const {
  const TimePoint until = m_clock.Now() - kCrashNewsTime;
  std::erase_if(crashes, [&](const auto& crash) {
    const auto server = m_parts_at.find(crash.first);
    return std::max(crash.second.at, server == m_parts_at.end() ? TimePoint() : server->second.at) >
           until;
  });
  return crashes;
}

/** Those of them at which no suspect was that explains more crashes. */
PartQuarantine::Crashes PartQuarantine::UnexplainedByRivals(const Part& part) const {
  Crashes crashes = Unexplained(part);
  const std::size_t settled = Settled(crashes).size();
  for (const auto& [fingerprint, other] : m_parts) {
    if (&other != &part && other.crashes.size() > settled && !IsInForce(other) &&
        Settled(Unexplained(other)).size() > settled) {
      Subtract(other.crashes, crashes);
    }
  }
  return crashes;
}

/** Whether another suspect was at just these crashes. */
bool PartQuarantine::IsTied(const Part& part) const {
  const auto is_same_server = [](const auto& left, const auto& right) {
    return left.first == right.first;
  };
  const Crashes crashes = Settled(Unexplained(part));
  return std::any_of(m_parts.begin(), m_parts.end(), [&](const auto& entry) {
    const Part& other = entry.second;
    if (&other == &part || other.crashes.size() < crashes.size() || IsInForce(other)) {
      return false;
    }
    const Crashes others = Settled(Unexplained(other));
    return std::equal(crashes.begin(), crashes.end(), others.begin(), others.end(), is_same_server);
  });
}

bool PartQuarantine::IsEnough(const Evidence& evidence) {
  return evidence.weight >= kProofWeight && evidence.trials >= kLeastTrials;
}

/** A trial that ended its server has said enough until all know of it. The instance whose turn came
    last goes on first, so that those that wait do not go on together. */
bool PartQuarantine::IsTrialNews(const Part& part, Duration turn_age) const {
  const int beyond_need = EvidenceOf(part.crashes).trials - kLeastTrials + 1;
  const Duration pause = beyond_need > 0 ? kPauseBeforeProof * beyond_need : kTrialPause;
  return m_clock.Now() - LastOf(part.crashes) < pause + turn_age;
}

bool PartQuarantine::IsProven(const Part& part) const {
  if (part.crashes.size() < kLeastStarts) {
    return false;
  }
  const Crashes crashes = Settled(UnexplainedByRivals(part));
  const Evidence evidence = EvidenceOf(crashes);
  return IsEnough(evidence) && LastOf(crashes) - FirstOf(crashes) >= kLongestPoolLoss &&
         (evidence.weight >= kProofWeightOfTie || !IsTied(part));
}

bool PartQuarantine::IsStrongSuspect(const Part& part) const {
  return IsInForce(part) || (WeightOf(part.crashes) >= kStrongWeight &&
                             WeightOf(UnexplainedByRivals(part)) >= kStrongWeight);
}

/** Returns the proven part that explains most crashes. */
std::optional<Fingerprint> PartQuarantine::FindGuilty() const {
  std::optional<std::pair<std::size_t, Fingerprint>> guilty;
  for (const auto& [fingerprint, part] : m_parts) {
    if (!IsInForce(part) && IsProven(part)) {
      guilty = std::max(guilty, std::optional(std::pair(Unexplained(part).size(), fingerprint)));
    }
  }
  return guilty ? std::optional(guilty->second) : std::nullopt;
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
