#pragma once

#include <optional>
#include <string>
#include <vector>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** One path of a change with its new value; without a value the path is removed. */
struct ChangedPath {
  std::string path;
  std::optional<std::string> value;
};

/** An operator's change, whole or not at all. `change_id` is unique to it: the same id sent again
    is answered with the revision that it got the first time. `against_revision` is the revision
   that the operator saw when ordering it. */
struct ConfigurationChange {
  std::string change_id;
  ConfigurationRevision against_revision = 0;
  std::vector<ChangedPath> paths;
};

}  // namespace zinnia
