#include "zinnia_decisions/once/partition_role.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/membership/membership_view.h"
#include "zinnia_decisions/once/holder_failure_detector.h"

namespace zinnia {
namespace {

/** Failures further apart than this multiple of `takeover_after` are unrelated. */
constexpr int kFailureWindowFactor = 4;

/** Bounds the takeover delay in large fleets. */
constexpr int kMaxStaggerSteps = 8;

bool IsSame(const Instance& left, const Instance& right) {
  return left.name == right.name && left.start == right.start;
}

}  // namespace

PartitionRole::PartitionRole(const OnceParts& parts,
                             const OnceSettings& settings,
                             HolderFailureDetector& failure_detector,
                             TakeoverSlots& slots,
                             std::uint32_t partition,
                             std::uint32_t partitions)
    : m_parts(parts),
      m_settings(settings),
      m_failure_detector(failure_detector),
      m_slots(slots),
      m_partition(partition),
      m_partitions(partitions) {}

PartitionRole::~PartitionRole() = default;

std::optional<Instance> PartitionRole::Target(bool trust_membership) const {
  // A stopping instance cannot take the partition over, so it keeps asking the preferred instance
  // and the current holder alternately.
  const bool unserved = m_head && IsHolderFailing(*m_head);
  if (!m_head || (unserved && !m_leaving)) {
    return std::nullopt;
  }
  const bool ask_holder =
      !m_head->released && (!trust_membership || (!unserved && IsUsable(*m_head)));
  const std::optional<Instance> target =
      ask_holder ? m_head->holder : Preferred(*m_head, m_excluded_targets);
  const bool is_self = target && IsSame(*target, m_parts.membership.Self());
  return is_self ? std::nullopt : target;
}

/** Returns true if the head is not released and membership lists its holder as live. */
bool PartitionRole::IsUsable(const PartitionHead& head) const {
  const std::vector<Instance> live = m_parts.membership.LiveInstances();
  return !head.released && std::any_of(live.begin(), live.end(), [&](const Instance& instance) {
    return IsSame(instance, head.holder);
  });
}

bool PartitionRole::IsHolderFailing(const PartitionHead& head) const {
  if (head.epoch > 0 && !head.released && m_failure_detector.LostSince(head.holder)) {
    return true;
  }
  const TimePoint now = m_parts.clock.Now();
  if (!m_failing_since || !m_head || head.epoch != m_head->epoch ||
      now - m_last_failure_at > kFailureWindowFactor * m_settings.takeover_after) {
    return false;
  }
  const auto patience = m_refused ? m_settings.refused_takeover_after : m_settings.takeover_after;
  return now - *m_failing_since >= patience;
}

/** Returns the preferred live instance, excluding the holder that released or lost the partition.
 */
std::optional<Instance> PartitionRole::Preferred(const PartitionHead& head,
                                                 const std::set<InstanceName>& left_out) const {
  std::optional<Instance> best;
  std::uint64_t best_hash = 0;
  for (const Instance& instance : m_parts.membership.LiveInstances()) {
    const bool skipped = left_out.contains(instance.name) ||
                         (head.epoch > 0 && IsSame(instance, head.holder)) ||
                         (m_leaving && IsSame(instance, m_parts.membership.Self()));
    const std::uint64_t hash = PreferenceOf(instance);
    if (!skipped && (!best || hash > best_hash)) {
      best = instance;
      best_hash = hash;
    }
  }
  return best;
}

std::uint64_t PartitionRole::PreferenceOf(const Instance& instance) const {
  return Hash64(fmt::format("{}/{}", instance.name, instance.start), m_partition);
}

/** Staggers takeovers by order of preference. Otherwise all instances that detect a lost holder at
    the same time would compete for its partitions, wasting store calls. */
bool PartitionRole::IsTakeoverDelayOver(const PartitionHead& head) const {
  const std::optional<TimePoint> lost_since = m_failure_detector.LostSince(head.holder);
  if (!lost_since) {
    return true;
  }
  const std::uint64_t own = PreferenceOf(m_parts.membership.Self());
  int before = 0;
  for (const Instance& instance : m_parts.membership.LiveInstances()) {
    const bool lost = IsSame(instance, head.holder) || m_failure_detector.LostSince(instance);
    before += !lost && PreferenceOf(instance) > own ? 1 : 0;
  }
  return m_parts.clock.Now() - *lost_since >=
         m_settings.takeover_stagger * std::min(before, kMaxStaggerSteps);
}

bool PartitionRole::MayTakeOver(const PartitionHead& head) {
  if (!ShouldTakeOver(head)) {
    return false;
  }
  m_slot = IsHolderFailing(head) ? m_slots.Take() : nullptr;
  return m_slot != nullptr || !IsHolderFailing(head);
}

bool PartitionRole::ShouldTakeOver(const PartitionHead& head) const {
  if (m_leaving) {
    return false;
  }
  const Instance& self = m_parts.membership.Self();
  const bool paused =
      m_last_taken && m_parts.clock.Now() - *m_last_taken < m_settings.takeover_pause;
  if (head.epoch > 0 && IsSame(head.holder, self)) {
    return true;
  }
  if (IsHolderFailing(head)) {
    return !paused && IsTakeoverDelayOver(head);
  }
  const std::optional<Instance> preferred = Preferred(head);
  return !IsUsable(head) && preferred && IsSame(*preferred, self) && (head.released || !paused);
}

void PartitionRole::Refresh(RefreshCallback callback) {
  m_waiting.push_back(std::move(callback));
  if (m_takeover) {
    return;
  }
  m_takeovers += 1;
  m_takeover = std::make_unique<PartitionTakeover>(
      m_parts, m_settings, m_partition, m_takeovers,
      [this](const PartitionHead& head) { return MayTakeOver(head); });
  m_takeover->Start(
      [this](Result<RecoveredPartition> result) { OnTakeoverDone(std::move(result)); });
}

void PartitionRole::OnTakeoverDone(Result<RecoveredPartition> result) {
  const std::unique_ptr<PartitionTakeover> takeover = std::move(m_takeover);
  m_slot.reset();
  if (takeover->SeenHead() && (!m_head || m_head->epoch < takeover->SeenHead()->epoch)) {
    m_failing_since.reset();
    m_excluded_targets.clear();
  }
  m_head = takeover->SeenHead();
  Result<void> outcome;
  if (result) {
    m_last_taken = m_parts.clock.Now();
    m_head = result->head;
    m_parts.recorder.Record({m_parts.clock.Now(),
                             fmt::format("once_partition {}", m_partition),
                             "take_over",
                             "the partition had no reachable holder",
                             {{"epoch", std::to_string(m_head->epoch)},
                              {"keys", std::to_string(result->index.size())}}});
    m_holder = std::make_unique<PartitionHolder>(m_parts, m_settings, m_partition,
                                                 m_settings.store_writes_per_second / m_partitions,
                                                 std::move(*result), [this] { OnHolderEnded(); });
  } else if (result.error().kind != ErrorKind::kStaleEpoch) {
    outcome = result.error();
  }
  if (m_holder && m_leaving) {
    m_holder->HandOver();
  }
  for (const RefreshCallback& waiting : std::exchange(m_waiting, {})) {
    waiting(outcome);
  }
}

void PartitionRole::TakeOverIfPreferred() {
  if (m_holder || m_takeover || m_leaving || (m_head && !ShouldTakeOver(*m_head))) {
    return;
  }
  const std::optional<Instance> preferred = Preferred(m_head.value_or(PartitionHead{}));
  if (m_head || (preferred && IsSame(*preferred, m_parts.membership.Self()))) {
    Refresh([](const Result<void>&) {});
  }
}

void PartitionRole::NoteCallFailure(const Instance& target, TimePoint since, bool refused) {
  // A late failure of a previous holder must not count against the current one, or the partition
  // would move from instance to instance. The same holds for failures of the preferred instance,
  // which a stopping instance asks alternately with the holder.
  if (m_head && IsUsable(*m_head) && !IsSame(target, m_head->holder)) {
    return;
  }
  // Old failures expire: a single lost call must not cause a takeover at the next, unrelated
  // failure.
  const bool goes_on = m_failing_since &&
                       since - m_last_failure_at < kFailureWindowFactor * m_settings.takeover_after;
  // Starts when the failure is detected rather than when the call was sent: after this instance was
  // suspended, the holder may have replied at once.
  m_failing_since = goes_on ? *m_failing_since : m_parts.clock.Now();
  m_last_failure_at = m_parts.clock.Now();
  m_refused = refused;
}

void PartitionRole::ExcludeTarget(const Instance& target) {
  m_excluded_targets.insert(target.name);
  if (m_head && !Preferred(*m_head, m_excluded_targets)) {
    m_excluded_targets.clear();
  }
}

void PartitionRole::NoteUnservedPeerCall() {
  const TimePoint now = m_parts.clock.Now();
  if (m_head && !IsUsable(*m_head)) {
    NoteCallFailure(m_parts.membership.Self(), now, true);
  } else if (m_head && !m_leaving) {
    m_failure_detector.NoteLate(m_head->holder, now);
  }
}

void PartitionRole::HandOver(std::function<void()> done) {
  m_leaving = true;
  if (!m_holder && !m_takeover) {
    return done();
  }
  m_handed_over = std::move(done);
  if (m_holder) {
    m_holder->HandOver();
  } else {
    Refresh([this](const Result<void>&) {
      if (!m_holder) {
        OnHolderEnded();
      }
    });
  }
}

void PartitionRole::OnHolderEnded() {
  m_head.reset();
  m_ended_holder = std::move(m_holder);
  if (const auto done = std::exchange(m_handed_over, nullptr)) {
    done();
  }
}

}  // namespace zinnia
