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

/** A change that an operator orders: all edits take effect together, or none.

    It holds only against `against_revision`; if the configuration has moved on, it is refused with
    kRevisionConflict, whose message names the newer revision. `change_id` is unique to the change,
    so that a lost answer of the store can be settled by looking for it. `who` is for the record.
*/
struct ConfigurationChangeRequest {
  ConfigurationRevision against_revision = 0;
  std::vector<ConfigurationEdit> edits;
  std::string change_id;
  std::string who;
};

/** What stands at a path now. `value` is empty for a path that has no entry; `entry_revision` is
   the revision that wrote or removed the entry (0 if none did), `revision` that of the whole
    configuration, to order a change against. */
struct CurrentConfigurationEntry {
  ConfigurationRevision revision = 0;
  ConfigurationRevision entry_revision = 0;
  std::optional<std::string> value;
};

}  // namespace zinnia
