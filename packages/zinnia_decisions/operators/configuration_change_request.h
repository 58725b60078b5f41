#pragma once

#include <optional>
#include <string>
#include <vector>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** A new value for one path of the configuration. Without `json` the entry is removed. */
struct ConfigurationEdit {
  std::string path;
  std::optional<std::string> json;

  bool operator==(const ConfigurationEdit&) const = default;
};

/** A configuration change requested by an operator; its edits are applied atomically.

    It is refused with kRevisionConflict, whose message names the newer revision, unless the
    configuration is at `against_revision`. `change_id` is unique to the change, so that a lost
    response of the store can be resolved by searching for it. `who` names the author.
*/
struct ConfigurationChangeRequest {
  ConfigurationRevision against_revision = 0;
  std::vector<ConfigurationEdit> edits;
  std::string change_id;
  std::string who;
};

/** The current entry at a path. `value` is empty if the path has no entry; `entry_revision` is the
    revision that wrote or removed the entry (0 if none did), `revision` that of the whole
    configuration, for use as `against_revision`. */
struct CurrentConfigurationEntry {
  ConfigurationRevision revision = 0;
  ConfigurationRevision entry_revision = 0;
  std::optional<std::string> value;
};

}  // namespace zinnia
