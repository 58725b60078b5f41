#pragma once

#include <string>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** `move role ROLE to instance NAME`. */
struct MoveRoleCommand {
  std::string role;
  InstanceName instance;

  bool operator==(const MoveRoleCommand&) const = default;
};

}  // namespace zinnia
