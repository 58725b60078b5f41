#pragma once

#include <optional>
#include <string>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** Writes one whole configuration entry: `create KIND NAME = {...}` (refused if there is one) and
    `put PATH = {...}` (replaces it). */
struct PutCommand {
  std::string path;
  std::string json;
  bool must_be_new = false;
  std::optional<ConfigurationRevision> against;

  bool operator==(const PutCommand&) const = default;
};

}  // namespace zinnia
