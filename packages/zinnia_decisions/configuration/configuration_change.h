#pragma once

#include <optional>
#include <string>
#include <vector>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** A path and its new value; no value removes the path. */
struct ChangedPath {
  std::string path;
  std::optional<std::string> value;
};

/** An operator's change, applied atomically. `change_id` is an idempotency key: resubmitting the
    same id returns the revision of the first acceptance. `against_revision` is the revision that
    the change was based on. */
struct ConfigurationChange {
  std::string change_id;
  ConfigurationRevision against_revision = 0;
  std::vector<ChangedPath> paths;
};

}  // namespace zinnia
