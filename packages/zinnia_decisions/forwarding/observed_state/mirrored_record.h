#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinnia {

/** A store record as held by a mirror. Without a value: removed at that revision. */
struct MirroredRecord {
  std::string key;
  std::uint64_t revision = 0;
  std::optional<std::string> value;

  bool operator==(const MirroredRecord&) const = default;
};

/** Changes of a mirror between two revisions. */
struct MirrorDelta {
  /** Whether `records` is a full snapshot: keys absent from it were removed. */
  bool complete = false;
  std::uint64_t revision = 0;
  std::vector<MirroredRecord> records;
};

}  // namespace zinnia
