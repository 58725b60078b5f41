#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinnia {

/** A record of the store as a mirror knows it. No value: it was removed at that revision. */
struct MirroredRecord {
  std::string key;
  std::uint64_t revision = 0;
  std::optional<std::string> value;

  bool operator==(const MirroredRecord&) const = default;
};

/** What changed in a mirror between two revisions. */
struct MirrorDelta {
  /** Set if `records` are all that exist: what is not among them was removed. */
  bool complete = false;
  std::uint64_t revision = 0;
  std::vector<MirroredRecord> records;
};

}  // namespace zinnia
