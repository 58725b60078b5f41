#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "zinnia_world/fleet/link.h"

namespace zinnia {

/** Link costs between failure domains, looked up by numeric domain id.

    A Link also applies to the opposite direction unless that has one of its own. Pairs without a
    Link get the defaults of a fast link, since operators describe only slow links.

    @see FleetIndex
*/
class LinkTable {
 public:
  explicit LinkTable(const std::vector<Link>& links);

  /** Returns the id of a domain. Assigns the next free id if the domain is new. */
  std::uint32_t InternDomain(const FailureDomainName& domain);

  /** Returns the time to transfer `bytes` one way, without queueing. */
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
