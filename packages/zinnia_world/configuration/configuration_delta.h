#pragma once

#include <vector>

#include "zinnia_world/configuration/configuration_entry.h"

namespace zinnia {

/** All entries written after revision `after` up to `revision`. Applied by whoever holds a revision
    of at least `after` and below `revision`; ignored by all others. */
struct ConfigurationDelta {
  ConfigurationRevision after = 0;
  ConfigurationRevision revision = 0;
  std::vector<ConfigurationEntry> entries;

  bool operator==(const ConfigurationDelta&) const = default;
};

}  // namespace zinnia
