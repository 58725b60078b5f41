#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "zinnia_world/fleet/link.h"

namespace zinnia {

/** Link costs between numbered failure domains, for quick lookup while choosing.

    Domains get small numbers in the order in which they are first seen. A pair that no Link names
    costs what a fast link costs: operators describe only links that are slow.

    @see FleetIndex
*/
class LinkTable {
 public:
  explicit LinkTable(const std::vector<Link>& links);

  /** The number of a domain, adding it if it is new. */
  std::uint32_t InternDomain(const FailureDomainName& domain);

  /** Seconds to move `bytes` one way, without queueing. */
  double OneWaySeconds(std::uint32_t from, std::uint32_t to, double bytes) const;

 private:
  struct Cost {
    double one_way_seconds;
    double seconds_per_byte;
  };

  std::map<FailureDomainName, std::uint32_t> m_domain_ids;
  std::map<std::pair<std::uint32_t, std::uint32_t>, Cost> m_costs;
};

}  // namespace zinnia
