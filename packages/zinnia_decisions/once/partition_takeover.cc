#include "zinnia_decisions/once/partition_takeover.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/membership/membership_view.h"
#include "zinnia_decisions/once/alive_guard.h"

namespace zinnia {
namespace {

Error StaleEpoch(const char* message) {
  return MakeError(ErrorKind::kStaleEpoch, message);
}

}  // namespace

PartitionTakeover::PartitionTakeover(const OnceParts& parts,
                                     const OnceSettings& settings,
                                     std::uint32_t partition,
                                     std::uint64_t sequence,
                                     MayTakeOver may_take_over)
    : m_parts(parts),
      m_settings(settings),
      m_partition(partition),
      m_sequence(sequence),
      m_may_take_over(std::move(may_take_over)),
      m_writer(parts.store, parts.scheduler, settings.retry_pause),
      m_taken{.index = IntentIndex((settings.retention + settings.clock_skew).count(),
                                   settings.most_recorded_bytes)} {}

PartitionTakeover::~PartitionTakeover() = default;

std::string PartitionTakeover::SegmentKey(const std::string& id) const {
  return SegmentPrefix(m_partition) + id;
}

void PartitionTakeover::Start(Callback callback) {
  m_callback = std::move(callback);
  m_parts.store.Get(HeadKey(m_partition),
                    WhileAlive(m_alive, [this](Result<std::optional<StoreRecord>> result) {
                      OnHeadRead(std::move(result));
                    }));
}

void PartitionTakeover::OnHeadRead(Result<std::optional<StoreRecord>> result) {
  if (!result) {
    return Finish(result.error());
  }
  PartitionHead none;
  none.released = true;
  Result<PartitionHead> head = std::move(none);
  if (result->has_value() && (*result)->value) {
    head = DecodeHead(*(*result)->value);
    m_old_head_version = (*result)->version;
  }
  if (!head) {
    return Finish(head.error());
  }
  m_seen_head = *head;
  if (!m_may_take_over(*head)) {
    return Finish(StaleEpoch("another instance holds the partition"));
  }
  m_taken.head = std::move(*head);
  CreateSegment();
}

void PartitionTakeover::CreateSegment() {
  PartitionHead& head = m_taken.head;
  const Instance& self = m_parts.membership.Self();
  head.epoch += 1;
  head.released = false;
  head.holder = self;
  head.segments.push_back(
      fmt::format("{}-{}-{}-{}", head.epoch, self.name, self.start, m_sequence));
  m_writer.Write(SegmentKey(head.segments.back()), 0, EncodeSegmentHeader({.epoch = head.epoch}),
                 [this](Result<std::uint64_t> result) {
                   if (!result) {
                     return Finish(result.error().kind == ErrorKind::kStoreConflict
                                       ? StaleEpoch("the new segment exists already")
                                       : result.error());
                   }
                   SwapHead(*result);
                 });
}

void PartitionTakeover::SwapHead(std::uint64_t segment_version) {
  m_taken.segment_version = segment_version;
  m_writer.Write(HeadKey(m_partition), m_old_head_version, EncodeHead(m_taken.head),
                 [this](Result<std::uint64_t> result) { OnHeadSwapped(std::move(result)); });
}

void PartitionTakeover::OnHeadSwapped(Result<std::uint64_t> result) {
  if (!result) {
    m_seen_head.reset();
    m_parts.store.Delete(SegmentKey(m_taken.head.segments.back()), m_taken.segment_version,
                         [](const Result<std::uint64_t>&) {});
    return Finish(result.error().kind == ErrorKind::kStoreConflict
                      ? StaleEpoch("another instance took the partition first")
                      : result.error());
  }
  m_taken.head_version = *result;
  ListSegments();
}

void PartitionTakeover::ListSegments() {
  m_parts.store.List(
      SegmentPrefix(m_partition),
      WhileAlive(m_alive, [this](Result<StoreBatch> batch) { OnListed(std::move(batch)); }));
}

void PartitionTakeover::OnListed(Result<StoreBatch> batch) {
  if (!batch) {
    return RetryLater();
  }
  m_segments.clear();
  m_versions.clear();
  const Result<void> collected = Collect(*batch);
  if (!collected) {
    return Finish(collected.error());
  }
  SealNext();
}

Result<void> PartitionTakeover::Collect(const StoreBatch& batch) {
  const std::vector<std::string>& ids = m_taken.head.segments;
  for (const StoreRecord& record : batch.records) {
    if (!record.value) {
      continue;
    }
    const std::string id = record.key.substr(SegmentPrefix(m_partition).size());
    if (id == ids.back()) {
      if (record.version != m_taken.segment_version) {
        return StaleEpoch("another instance took the partition");
      }
      continue;
    }
    Result<Segment> segment = DecodeSegment(*record.value);
    if (!segment) {
      return segment.error();
    }
    if (std::find(ids.begin(), ids.end(), id) != ids.end()) {
      m_versions[id] = record.version;
      m_segments.emplace(id, std::move(*segment));
    } else if (segment->header.epoch < m_taken.head.epoch) {
      DeleteOrphan(record);
    }
  }
  return {};
}

/** Deletes a segment of an older epoch that the head does not list: the head swap that it was
    created for failed. */
void PartitionTakeover::DeleteOrphan(const StoreRecord& record) {
  m_parts.store.Delete(record.key, record.version, [](const Result<std::uint64_t>&) {});
}

void PartitionTakeover::SealNext() {
  for (const auto& [id, segment] : m_segments) {
    if (!segment.header.sealed) {
      return Seal(id);
    }
  }
  BuildIndexAndFinish();
}

void PartitionTakeover::Seal(const std::string& id) {
  Segment& segment = m_segments.at(id);
  segment.header.sealed = true;
  segment.header.epoch = m_taken.head.epoch;
  m_writer.Write(SegmentKey(id), m_versions.at(id),
                 EncodeSegmentHeader(segment.header) + segment.body,
                 [this](const Result<std::uint64_t>& result) {
                   // On a conflict, the old holder wrote once more or a newer holder sealed the
                   // segment first. Listing again shows which.
                   result ? SealNext() : RetryLater();
                 });
}

void PartitionTakeover::BuildIndexAndFinish() {
  for (const std::string& id : m_taken.head.segments) {
    const auto found = m_segments.find(id);
    if (found == m_segments.end()) {
      continue;
    }
    std::int64_t& newest = m_taken.newest_unix_ms[id];
    for (IntentRecord& record : found->second.records) {
      newest = std::max(newest, record.recorded_unix_ms);
      m_taken.index.Apply(std::move(record));
    }
  }
  Finish(std::move(m_taken));
}

void PartitionTakeover::RetryLater() {
  m_timer = m_parts.scheduler.ScheduleAfter(m_settings.store_pause, [this] { ListSegments(); });
}

void PartitionTakeover::Finish(Result<RecoveredPartition> result) {
  std::exchange(m_callback, nullptr)(std::move(result));
}

}  // namespace zinnia
