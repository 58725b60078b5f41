#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinnia_world/forwarding/forward_route.h"
#include "zinnia_world/forwarding/forward_service.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Size limits and timeouts for incoming requests. */
struct CallerBounds {
  std::uint32_t most_header_bytes = 16'384;
  std::uint64_t most_body_bytes = 1'048'576;
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds idle_timeout{75'000};
};

/** A complete, accepted version of the forwarding configuration. Immutable once published. */
struct ForwardingRules {
  std::uint64_t version = 0;
  std::vector<ForwardRoute> routes;
  std::map<ServiceName, ForwardService> services;

  /** False if no organisations are configured. */
  bool keys_required = false;
  std::map<std::string, OrganisationName> organisation_by_key;

  /** Priorities of organisations that have one of their own; 0 is the most urgent. */
  std::map<OrganisationName, std::uint32_t> organisation_priorities;
  CallerBounds caller_bounds;
};

}  // namespace zinnia
