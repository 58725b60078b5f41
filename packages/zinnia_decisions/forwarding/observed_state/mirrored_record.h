#pragma once

#include <optional>
#include <string>
#include <vector>

#include "zinnia_decisions/ports/store_revision.h"

namespace zinnia {

/** A store record as held by a mirror. Without a value: removed at that revision. */
struct MirroredRecord {
  std::string key;
  StoreRevision revision;
  std::optional<std::string> value;

  bool operator==(const MirroredRecord&) const = default;
};

/** Changes of a mirror between two revisions. */
struct MirrorDelta {
  /** Whether `records` is a full snapshot: keys absent from it were removed. */
  bool complete = false;
  StoreRevision revision;
  std::vector<MirroredRecord> records;
};

}  // namespace zinnia
