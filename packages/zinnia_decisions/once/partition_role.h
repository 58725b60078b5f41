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

class HolderFailureDetector;

/** This instance's view of one partition: the head as last read, the instance to send requests to,
    and the PartitionHolder if this instance holds the partition.

    The preferred holder is found by rendezvous hashing: the live instance with the highest hash of
    (name, start, partition). While instances disagree on the membership, several may attempt a
    takeover; the compare-and-swap of the head lets one succeed. A live holder keeps the partition
    even if another instance is preferred, so that partitions do not move back and forth.

    @see PartitionTakeover, OnceCoordinator
*/
class PartitionRole {
 public:
  /** Called when this instance holds the partition, or when the head has been read. */
  using RefreshCallback = std::function<void(Result<void>)>;

  PartitionRole(const OnceParts& parts,
                const OnceSettings& settings,
                HolderFailureDetector& failure_detector,
                TakeoverSlots& slots,
                std::uint32_t partition,
                std::uint32_t partitions);
  ~PartitionRole();

  /** Returns null if this instance does not hold the partition. */
  PartitionHolder* Holder() { return m_holder.get(); }

  /** Returns the head as last read, or nullopt if it is unknown or this instance released it. */
  const std::optional<PartitionHead>& KnownHead() const { return m_head; }

  /** Returns the instance to send requests to, or nullopt if Refresh must be called first. Without
      `trust_membership`, returns the head's holder even if membership does not list it as live. */
  std::optional<Instance> Target(bool trust_membership) const;

  /** Reads the head and takes the partition over if this instance should hold it. Concurrent calls
      share one read. */
  void Refresh(RefreshCallback callback);

  /** Calls Refresh if the partition has no holder and this instance should take it over. */
  void TakeOverIfPreferred();

  /** Records that a call sent to `target` at `since` failed. `refused` means that the connection
      failed or `target` does not hold the partition, rather than that no reply came. If failures
      persist, this instance takes the partition over even if another one is preferred. */
  void NoteCallFailure(const Instance& target, TimePoint since, bool refused);
  void NoteCallSuccess() { m_failing_since.reset(); }

  /** Excludes `target`, which did not serve a call, so that Target returns the next preference. */
  void ExcludeTarget(const Instance& target);

  /** Records that a peer's call could not be served because this instance does not hold the
      partition. Without a live holder, this counts as a failure of the preferred instance, which
      may be stopping. Otherwise the holder is probed, since the peer may have got no reply from
      it. */
  void NoteUnservedPeerCall();

  /** Releases the partition; calls `done` when finished. */
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
  HolderFailureDetector& m_failure_detector;
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
