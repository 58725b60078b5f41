#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/ports/peer_messages.h"
#include "zinnia_world/fleet/instance.h"

namespace zinnia {

/** The holder of a partition and the segments of its log, oldest first; the last one is open.
    Stored under HeadKey. Each takeover increments `epoch`. */
struct PartitionHead {
  std::uint64_t epoch = 0;
  bool released = false;
  Instance holder;
  std::vector<std::string> segments;
};

/** kStarted: the request may have run. kAnswered: it ran and its answer is recorded. kFree: it has
    not run and never will. */
enum class IntentState { kStarted, kAnswered, kFree };

/** The state of one key. Segments are logs of these; the last record of a key is the valid one.
    `attempt` identifies the call of Begin that was granted; only it may report the outcome. */
struct IntentRecord {
  OrganisationName organisation;
  std::string key;
  Fingerprint request;
  std::string attempt;
  IntentState state = IntentState::kStarted;
  std::int64_t recorded_unix_ms = 0;
  std::optional<RecordedAnswer> answer;
};

/** The first line of a segment. `serial` makes each written value unique, so that a writer can
    recognise its own write. A sealed segment is never written again. */
struct SegmentHeader {
  std::uint64_t epoch = 0;
  std::uint64_t serial = 0;
  bool sealed = false;
};

/** A parsed segment. `body` is the stored text of the records. */
struct Segment {
  SegmentHeader header;
  std::string body;
  std::vector<IntentRecord> records;
};

inline constexpr const char* kOnceLayoutKey = "once/layout";
inline constexpr const char* kOnceHeadPrefix = "once/head/";

std::string HeadKey(std::uint32_t partition);
std::string SegmentPrefix(std::uint32_t partition);

std::string EncodeLayout(std::uint32_t partitions);
Result<std::uint32_t> DecodeLayout(const std::string& text);

std::string EncodeHead(const PartitionHead& head);
Result<PartitionHead> DecodeHead(const std::string& text);

/** Segments are JSON lines, so that a record can be appended without encoding the others again. */
std::string EncodeSegmentHeader(const SegmentHeader& header);
std::string EncodeIntentRecord(const IntentRecord& record);
Result<Segment> DecodeSegment(const std::string& text);

}  // namespace zinnia
