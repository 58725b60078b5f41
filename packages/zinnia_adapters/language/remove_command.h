#pragma once

#include <optional>
#include <string>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** `remove KIND NAME [against N]`. */
struct RemoveCommand {
  std::string path;
  std::optional<ConfigurationRevision> against;

  bool operator==(const RemoveCommand&) const = default;
};

}  // namespace zinnia
