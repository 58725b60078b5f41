#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "zinnia_base/random/random_source.h"
#include "zinnia_decisions/once/partition_holder.h"
#include "zinnia_decisions/once/takeover_slots.h"

namespace zinnia {

class HolderWatch;

/** What one instance knows of one partition: its head as last read, whom to ask, and the holder's
    part if that is this instance.

    Who should hold a partition is agreed without messages: the live instance with the highest hash
    of (name, start, partition) tries first. Views differ for a while; then two may try, and the
    swap of the head lets one win. A living holder is left alone, preferred or not, so that roles
    do not move back and forth.

    @see PartitionTakeover, OnceCoordinator
*/
class PartitionRole {
 public:
  /** Told when a refresh is over: this instance holds the partition, or the head has been read. */
  using RefreshCallback = std::function<void(Result<void>)>;

  PartitionRole(const OnceParts& parts,
                const OnceSettings& settings,
                HolderWatch& watch,
                TakeoverSlots& slots,
                std::uint32_t partition,
                std::uint32_t partitions);
  ~PartitionRole();

  /** Null if this instance does not hold the partition. */
  PartitionHolder* Holder() { return m_holder.get(); }

  /** The head as it was last read; nothing if it was not, or if this instance gave it up. */
  const std::optional<PartitionHead>& KnownHead() const { return m_head; }

  /** Whom to ask; nothing if Refresh has to come first. Without `trust_membership` the head's
      holder is asked even if it is believed dead: the belief may be wrong. */
  std::optional<Instance> Target(bool trust_membership) const;

  /** Reads the head and takes the partition over if that is this instance's part. Calls made while
      one is under way share it. */
  void Refresh(RefreshCallback callback);

  /** Refreshes if the partition lacks a holder and this instance should be it. */
  void TakeOverIfPreferred();

  /** `target` has not served a call made at `since`; `refused` if that is certain, because
      the instance could not be reached or said that it holds nothing. If this goes on, the instance
      takes the partition over, preferred or not. */
  void NoteCallFailure(const Instance& target, TimePoint since, bool refused);
  void NoteCallSuccess() { m_failing_since.reset(); }

  /** `target` said that it holds nothing: the next one in the order of preference is asked. */
  void ExcludeTarget(const Instance& target);

  /** A peer asked this instance, which does not hold the partition. If the head has no living
     holder either, whoever is preferred is not doing its part (it may be stopping). Otherwise the
      peer may have found the holder silent, so it is asked for a sign of life. */
  void NoteUnservedPeerCall();

  /** Gives the partition up in good order; `done` runs when that is over. */
  void HandOver(std::function<void()> done);

 private:
  bool IsUsable(const PartitionHead& head) const;
  bool MayTakeOver(const PartitionHead& head);
  bool ShouldTakeOver(const PartitionHead& head) const;
  bool IsTakeoverDelayOver(const PartitionHead& head) const;
  std::uint64_t PreferenceOf(const Instance& instance) const;
  bool IsHolderFailing(const PartitionHead& head) const;
  std::optional<Instance> Preferred(const PartitionHead& head,
                                    const std::set<InstanceName>& left_out = {}) const;
  void OnTakeoverDone(Result<RecoveredPartition> result);
  void OnHolderEnded();

  OnceParts m_parts;
  const OnceSettings& m_settings;
  HolderWatch& m_watch;
  TakeoverSlots& m_slots;
  TakeoverSlots::Slot m_slot;
  const std::uint32_t m_partition;
  const std::uint32_t m_partitions;
  std::optional<PartitionHead> m_head;
  std::unique_ptr<PartitionHolder> m_holder;
  std::unique_ptr<PartitionHolder> m_ended_holder;
  std::unique_ptr<PartitionTakeover> m_takeover;
  std::uint64_t m_takeovers = 0;
  std::vector<RefreshCallback> m_waiting;
  std::optional<TimePoint> m_last_taken;
  std::optional<TimePoint> m_failing_since;
  TimePoint m_last_failure_at{};
  bool m_refused = false;
  std::set<InstanceName> m_excluded_targets;
  bool m_leaving = false;
  std::function<void()> m_handed_over;
};

}  // namespace zinnia
