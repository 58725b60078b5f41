#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** The API keys, weight, priority and limits of an organisation. A limit of zero means unlimited.
    `key_digests` are lower-case SHA-256 hex digests, so that the configuration contains no secrets.
 */
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
