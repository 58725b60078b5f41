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

/** What a new holder starts from: its head, its empty open segment, all that was granted before,
    and when each older segment was last written. */
struct RecoveredPartition {
  PartitionHead head;
  std::uint64_t head_version = 0;
  std::uint64_t segment_version = 0;
  std::map<std::string, std::int64_t> newest_unix_ms;
  IntentIndex index;
};

/** Takes a partition over from its holder, which may be dead, paused, or alive and mistaken for
    dead. Nothing here relies on time.

    1. Create an empty segment of its own. From then on every write that may grant something
       expects a version above 0, so that a segment that was deleted can never come back.
    2. Swap the head: epoch + 1, this instance, the new segment last. Of two that race, one loses.
    3. List the segments and seal each that is open. What fails without it: the old holder, paused
       with a write on its way, would write a grant after the new one has read the log, and both
       would grant one key. Sealing moves the version on, so that its next write is refused; what it
       wrote before the seal is in the log that is read.
    4. Build the index from the sealed log.

    `sequence` must differ between all takeovers of one running instance: it makes the name of the
    new segment unique. A failure of the store after step 2 is retried until it succeeds or another
   instance takes over. Destroy it to stop. The callback gets kStaleEpoch if the head's holder is to
   be left alone or another instance was faster.
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

  /** The head that was read, if the takeover ended because of it. */
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
