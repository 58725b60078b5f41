#pragma once

#include <cstdint>
#include <string>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** A model that callers can request. `credit_weight` is the credit for one completed request. */
struct Model {
  ModelName name;
  std::string version;
  std::uint32_t layers = 0;
  std::uint32_t max_tokens = 1024;
  double credit_weight = 1.0;

  bool operator==(const Model&) const = default;
};

}  // namespace zinnia
