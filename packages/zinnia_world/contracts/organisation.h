#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** The contract with an organisation: its keys, its share, its limits. Zero as a limit means none.
    `key_digests` are lower-case SHA-256 hex digests of the keys, so that the configuration holds no
    secret. */
struct Organisation {
  OrganisationName name;
  std::vector<std::string> key_digests;
  double weight = 1.0;
  std::uint32_t priority = 1;
  double requests_per_second = 0.0;
  std::uint32_t concurrent_requests = 0;

  bool operator==(const Organisation&) const = default;
};

}  // namespace zinnia
