#pragma once

#include <vector>

#include "zinnia_world/configuration/configuration_entry.h"

namespace zinnia {

/** All entries written after revision `after`, up to and including `revision`. Applies to
    configurations at a revision in [after, revision); others ignore it. */
struct ConfigurationDelta {
  ConfigurationRevision after = 0;
  ConfigurationRevision revision = 0;
  std::vector<ConfigurationEntry> entries;

  bool operator==(const ConfigurationDelta&) const = default;
};

}  // namespace zinnia
