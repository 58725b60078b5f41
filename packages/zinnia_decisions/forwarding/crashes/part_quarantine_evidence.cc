#include "zinnia_decisions/forwarding/crashes/part_quarantine.h"

#include <algorithm>
#include <utility>

#include "zinnia_decisions/forwarding/crashes/part_evidence.h"

// What crashes say of a part, and when they prove it, in PartQuarantine.

namespace zinnia {
namespace {

using part_evidence::kBegunWeight;
using part_evidence::kLeastMomentsOfSuspect;
using part_evidence::kLeastStarts;
using part_evidence::kLeastTrials;
using part_evidence::kProofWeight;
using part_evidence::kUncertainWeight;
using part_evidence::LastOf;
using std::chrono::milliseconds;

/** Servers that end closer together than this may have a common cause. */
constexpr Duration kCommonCauseWindow = milliseconds(200);

/** A crash at which more parts began than this counts like one of which nothing shows that the
    request had begun: where servers end one after the other, all requests begin at the rest. */
constexpr std::size_t kMaxPartsThatBegan = 16;

/** What a moment counts in which a request was in flight that was sent on probation: few others
   were sent with the part, so that the end of just its server is no chance. */
constexpr int kTrialWeight = 4;

/** A part is on probation at all instances so long after the crash that made it a suspect. */
constexpr Duration kProbationNewsTime = milliseconds(450);

/** The weight that proves one of several parts that were always there together. */
constexpr int kProofWeightOfTie = 3 * kProofWeight;

/** A request with the part is not sent a second time by ourselves. */
constexpr int kStrongWeight = 2 * kBegunWeight;

/** A crash proves nothing before peers have told which of their requests it met: another part may
    explain it. */
constexpr Duration kCrashNewsTime = milliseconds(550);

/** Crashes over a longer time have no common cause: all servers may end of something else, but not
    again as soon as they are back. */
constexpr Duration kLongestPoolLoss = std::chrono::seconds(2);

template <typename Crashes>
TimePoint FirstOf(const Crashes& crashes) {
  TimePoint first = TimePoint::max();
  for (const auto& [server, crash] : crashes) {
    first = std::min(first, crash.at);
  }
  return first;
}

template <typename Crashes>
void Subtract(const Crashes& explained, Crashes& crashes) {
  std::erase_if(crashes,
                [&explained](const auto& crash) { return explained.contains(crash.first); });
}

}  // namespace

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

bool PartQuarantine::HasStrongSuspect(const std::vector<Fingerprint>& parts) const {
  return std::any_of(parts.begin(), parts.end(), [this](const Fingerprint& part) {
    const auto found = m_parts.find(part);
    return found != m_parts.end() && IsStrongSuspect(found->second);
  });
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

bool PartQuarantine::IsOverLongEnough(const Crashes& crashes) {
  return LastOf(crashes) - FirstOf(crashes) >= kLongestPoolLoss;
}

bool PartQuarantine::IsProven(const Part& part) const {
  if (part.crashes.size() < kLeastStarts) {
    return false;
  }
  const Crashes crashes = Settled(UnexplainedByRivals(part));
  const Evidence evidence = EvidenceOf(crashes);
  return IsEnough(evidence) && IsOverLongEnough(crashes) &&
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

}  // namespace zinnia
