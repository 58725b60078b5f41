#include "zinnia_decisions/routing/link_table.h"

namespace zinnia {
namespace {

constexpr double kDefaultOneWaySeconds = 0.0003;
constexpr double kDefaultSecondsPerByte = 1.0 / 1.25e9;

}  // namespace

LinkTable::LinkTable(const std::vector<Link>& links) {
  for (const Link& link : links) {
    const double seconds_per_byte =
        link.bytes_per_second > 0.0 ? 1.0 / link.bytes_per_second : kDefaultSecondsPerByte;
    const Cost cost{std::chrono::duration<double>(link.one_way).count(), seconds_per_byte};
    const auto from = InternDomain(link.from);
    const auto to = InternDomain(link.to);
    m_costs[{from, to}] = cost;
    m_costs.try_emplace({to, from}, cost);
  }
}

std::uint32_t LinkTable::InternDomain(const FailureDomainName& domain) {
  return m_domain_ids.try_emplace(domain, static_cast<std::uint32_t>(m_domain_ids.size()))
      .first->second;
}

double LinkTable::OneWaySeconds(std::uint32_t from, std::uint32_t to, double bytes) const {
  const auto known = m_costs.find({from, to});
  if (known == m_costs.end()) {
    return kDefaultOneWaySeconds + bytes * kDefaultSecondsPerByte;
  }
  return known->second.one_way_seconds + bytes * known->second.seconds_per_byte;
}

}  // namespace zinnia
