#include <fmt/format.h>

#include <utility>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/once/partition_holder.h"

/** The part of PartitionHolder that changes the head: new segments, expiry, and the release. */
namespace zinnia {

bool PartitionHolder::NeedsRoll() const {
  return m_body.size() > m_settings.segment_bytes || IsExpired(m_head.segments.front());
}

bool PartitionHolder::IsExpired(const std::string& segment) const {
  const auto newest = m_sealed_newest_unix_ms.find(segment);
  const auto kept = (m_settings.retention + m_settings.clock_skew).count();
  return newest != m_sealed_newest_unix_ms.end() && newest->second + kept < UnixMilliseconds();
}

/** Makes the next segment before the head names it, as PartitionTakeover does and for its reason:
    each later write to it expects a version above 0. */
void PartitionHolder::Roll() {
  m_writing = true;
  m_write_started = m_parts.clock.Now();
  m_rolls += 1;
  PartitionHead head = m_head;
  DropExpiredSegments(head);
  head.segments.push_back(fmt::format("{}-{}-{}-v{}-{}", m_head.epoch, m_head.holder.name,
                                      m_head.holder.start, m_segment_version, m_rolls));
  m_writer.Write(SegmentPrefix(m_partition) + head.segments.back(), 0,
                 EncodeSegmentHeader({.epoch = m_head.epoch}),
                 [this, head](Result<std::uint64_t> result) mutable {
                   OnSegmentCreated(std::move(result), std::move(head));
                 });
}

void PartitionHolder::OnSegmentCreated(Result<std::uint64_t> result, PartitionHead head) {
  if (!result) {
    return OnHeadSwapped(result.error(), std::move(head));
  }
  const std::uint64_t new_segment_version = *result;
  m_writer.Write(HeadKey(m_partition), m_head_version, EncodeHead(head),
                 [this, head, new_segment_version](Result<std::uint64_t> swapped) mutable {
                   if (swapped) {
                     m_segment_version = new_segment_version;
                   }
                   OnHeadSwapped(std::move(swapped), std::move(head));
                 });
}

/** After a refusal the new segment stays behind; the next takeover deletes it. */
void PartitionHolder::OnHeadSwapped(Result<std::uint64_t> result, PartitionHead head) {
  m_writing = false;
  if (!result && result.error().kind == ErrorKind::kStoreConflict) {
    return End("another instance swapped the head");
  }
  if (result) {
    m_sealed_newest_unix_ms[m_head.segments.back()] = m_newest_unix_ms;
    m_head_version = *result;
    m_head = std::move(head);
    m_body.clear();
    m_newest_unix_ms = 0;
    m_index.DropExpired(UnixMilliseconds());
    for (const std::string& segment : std::exchange(m_expired_segments, {})) {
      DeleteSegment(segment);
    }
  } else {
    m_refuse_until = m_parts.clock.Now() + m_settings.store_pause;
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

/** Best effort: what stays behind is deleted by the next takeover. */
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
                 [this](const Result<std::uint64_t>&) { End("handed over for a planned stop"); });
}

}  // namespace zinnia
