#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_decisions/once/intent_index.h"
#include "zinnia_decisions/once/once_parts.h"
#include "zinnia_decisions/once/once_settings.h"
#include "zinnia_decisions/once/settled_writer.h"

namespace zinnia {

/** The state of a partition after a takeover: the new head, the versions of the head and of the
    empty open segment, the index of recorded intents, and the newest record time of each older
    segment. */
struct RecoveredPartition {
  PartitionHead head;
  std::uint64_t head_version = 0;
  std::uint64_t segment_version = 0;
  std::map<std::string, std::int64_t> newest_unix_ms;
  IntentIndex index;
};

/** Takes a partition over from its holder, which may have crashed, be paused, or still be running.
    Correctness does not depend on clocks.

    1. Create an empty segment. Every later write to it expects a version above 0 and so cannot
       recreate a deleted segment.
    2. Swap the head: increment the epoch, set this instance as the holder, append the new segment.
       Of concurrent takeovers, only one succeeds.
    3. List the segments and seal the open ones. Sealing changes the version, so that a delayed
       write of the old holder fails instead of granting a key that the new holder grants too.
    4. Build the index from the sealed segments.

    `sequence` must be unique among the takeovers of one running instance, since it is part of the
    new segment's name. Store errors after step 2 are retried until the takeover succeeds or another
    instance takes over; destroying the object cancels it. The callback gets kStaleEpoch if
    `may_take_over` refuses or another instance took the partition first.
*/
class PartitionTakeover {
 public:
  using MayTakeOver = std::function<bool(const PartitionHead&)>;
  using Callback = std::function<void(Result<RecoveredPartition>)>;

  PartitionTakeover(const OnceParts& parts,
                    const OnceSettings& settings,
                    std::uint32_t partition,
                    std::uint64_t sequence,
                    MayTakeOver may_take_over);
  ~PartitionTakeover();

  void Start(Callback callback);

  /** Returns the head that was read, or nullopt if it is unknown. */
  const std::optional<PartitionHead>& SeenHead() const { return m_seen_head; }

 private:
  void OnHeadRead(Result<std::optional<StoreRecord>> result);
  void CreateSegment();
  void SwapHead(std::uint64_t segment_version);
  void OnHeadSwapped(Result<std::uint64_t> result);
  void ListSegments();
  void OnListed(Result<StoreBatch> batch);
  Result<void> Collect(const StoreBatch& batch);
  void DeleteOrphan(const StoreRecord& record);
  void SealNext();
  void Seal(const std::string& key);
  void BuildIndexAndFinish();
  void RetryLater();
  void Finish(Result<RecoveredPartition> result);
  std::string SegmentKey(const std::string& id) const;

  OnceParts m_parts;
  const OnceSettings& m_settings;
  const std::uint32_t m_partition;
  const std::uint64_t m_sequence;
  MayTakeOver m_may_take_over;
  Callback m_callback;
  SettledWriter m_writer;
  std::optional<PartitionHead> m_seen_head;
  std::uint64_t m_old_head_version = 0;
  RecoveredPartition m_taken;
  std::map<std::string, Segment> m_segments;
  std::map<std::string, std::uint64_t> m_versions;
  std::unique_ptr<ScheduledCall> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
