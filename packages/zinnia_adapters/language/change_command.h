#pragma once

#include <optional>
#include <string>
#include <vector>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** A field of a configuration entry and its new value as JSON text. */
struct FieldAssignment {
  std::string field;
  std::string json;

  bool operator==(const FieldAssignment&) const = default;
};

/** Sets some fields of one configuration entry and keeps the others.

    `change KIND NAME set ...`, and the orders on backend servers: drain, undrain, set weight, load
    model. Orders make the entry if there is none yet; `must_exist` refuses that for `change`.
*/
struct ChangeCommand {
  std::string path;
  std::vector<FieldAssignment> assignments;
  bool must_exist = true;
  std::optional<ConfigurationRevision> against;

  bool operator==(const ChangeCommand&) const = default;
};

}  // namespace zinnia
