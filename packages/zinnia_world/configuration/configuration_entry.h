#pragma once

#include <optional>
#include <string>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** One object of the configuration, as JSON under a path such as "organisation/NAME".

    `revision` is the configuration revision that last wrote the entry. An entry without a value is
    a tombstone, kept so that deltas include the removal.
*/
struct ConfigurationEntry {
  std::string path;
  ConfigurationRevision revision = 0;
  std::optional<std::string> value;

  bool operator==(const ConfigurationEntry&) const = default;
};

}  // namespace zinnia
