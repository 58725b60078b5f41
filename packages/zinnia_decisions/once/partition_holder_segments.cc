#include <fmt/format.h>

#include <utility>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/once/partition_holder.h"

/** The part of PartitionHolder that updates the head: new segments, expiry and release. */
namespace zinnia {

bool PartitionHolder::NeedsRoll() const {
  return m_body.size() > m_settings.segment_bytes || IsExpired(m_head.segments.front());
}

bool PartitionHolder::IsExpired(const std::string& segment) const {
  const auto newest = m_sealed_newest_unix_ms.find(segment);
  const auto kept = (m_settings.retention + m_settings.clock_skew).count();
  return newest != m_sealed_newest_unix_ms.end() && newest->second + kept < UnixMilliseconds();
}

/** Removes expired segments from the head and, if the open segment is full, adds a new one. */
void PartitionHolder::Roll() {
  m_writing = true;
  m_write_started = m_parts.clock.Now();
  PartitionHead head = m_head;
  DropExpiredSegments(head);
  if (m_body.size() <= m_settings.segment_bytes) {
    return SwapHead(head, m_segment_version);
  }
  m_rolls += 1;
  head.segments.push_back(fmt::format("{}-{}-{}-v{}-{}", m_head.epoch, m_head.holder.name,
                                      m_head.holder.start, m_segment_version, m_rolls));
  CreateSegment(head);
}

/** Creates the next segment before the head lists it, so that every later write to it expects a
    version above 0 and cannot recreate a deleted segment. */
void PartitionHolder::CreateSegment(const PartitionHead& head) {
  m_writer.Write(SegmentPrefix(m_partition) + head.segments.back(), 0,
                 EncodeSegmentHeader({.epoch = m_head.epoch}),
                 [this, head](const Result<std::uint64_t>& result) {
                   if (!result) {
                     return OnHeadSwapped(result.error(), head, 0);
                   }
                   SwapHead(head, *result);
                 });
}

void PartitionHolder::SwapHead(const PartitionHead& head, std::uint64_t segment_version) {
  m_writer.Write(HeadKey(m_partition), m_head_version, EncodeHead(head),
                 [this, head, segment_version](const Result<std::uint64_t>& result) {
                   OnHeadSwapped(result, head, segment_version);
                 });
}

/** If the swap fails, the new segment is orphaned; the next takeover deletes it. */
void PartitionHolder::OnHeadSwapped(const Result<std::uint64_t>& result,
                                    const PartitionHead& head,
                                    std::uint64_t segment_version) {
  if (m_has_ended) {
    return;
  }
  m_writing = false;
  if (!result && result.error().kind == ErrorKind::kStoreConflict) {
    return End("another instance swapped the head");
  }
  if (!result) {
    m_refuse_until = m_parts.clock.Now() + m_settings.store_pause;
    return Pump();
  }
  if (head.segments.back() != m_head.segments.back()) {
    m_sealed_newest_unix_ms[m_head.segments.back()] = std::exchange(m_newest_unix_ms, 0);
    m_body.clear();
  }
  m_segment_version = segment_version;
  m_head_version = *result;
  m_head = head;
  m_index.DropExpired(UnixMilliseconds());
  for (const std::string& segment : std::exchange(m_expired_segments, {})) {
    DeleteSegment(segment);
  }
  Pump();
}

void PartitionHolder::DropExpiredSegments(PartitionHead& head) {
  m_expired_segments.clear();
  std::erase_if(head.segments, [this](const std::string& segment) {
    const bool expired = IsExpired(segment);
    if (expired) {
      m_expired_segments.push_back(segment);
    }
    return expired;
  });
}

/** Best effort: the next takeover deletes segments that remain. */
void PartitionHolder::DeleteSegment(const std::string& segment) {
  m_sealed_newest_unix_ms.erase(segment);
  m_parts.store.Get(SegmentPrefix(m_partition) + segment,
                    [&store = m_parts.store](const Result<std::optional<StoreRecord>>& result) {
                      if (result && result->has_value() && (*result)->value) {
                        store.Delete((*result)->key, (*result)->version,
                                     [](const Result<std::uint64_t>&) {});
                      }
                    });
}

void PartitionHolder::Release() {
  m_writing = true;
  PartitionHead head = m_head;
  head.released = true;
  m_writer.Write(HeadKey(m_partition), m_head_version, EncodeHead(head),
                 [this](const Result<std::uint64_t>& result) {
                   if (m_has_ended) {
                     return;
                   }
                   if (result || result.error().kind == ErrorKind::kStoreConflict) {
                     return End("handed over for a planned stop");
                   }
                   m_writing = false;
                   PumpLater(m_settings.store_pause);
                 });
}

}  // namespace zinnia
