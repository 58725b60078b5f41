#pragma once

#include <cstdint>
#include <tuple>

namespace zinnia {

/** How urgent a request is; the lowest value is served first. The organisation's priority takes
    precedence over that of the route. */
struct Urgency {
  std::uint32_t organisation_priority = 0;
  std::uint32_t route_priority = 0;

  bool operator==(const Urgency&) const = default;

  bool operator<(const Urgency& other) const {
    return std::tie(organisation_priority, route_priority) <
           std::tie(other.organisation_priority, other.route_priority);
  }
};

}  // namespace zinnia
