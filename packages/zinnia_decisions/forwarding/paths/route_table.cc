#include "zinnia_decisions/forwarding/paths/route_table.h"

#include <algorithm>
#include <cctype>

#include "zinnia_world/forwarding/forwarding_rules.h"

namespace zinnia {
namespace {

std::string CanonicalHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char character) { return std::tolower(character); });
  return name;
}

}  // namespace

RouteTable::RouteTable(const ForwardingRules& rules) {
  for (const ForwardRoute& route : rules.routes) {
    m_routes_by_host[CanonicalHost(route.host)].push_back(
        std::make_shared<const ForwardRoute>(route));
  }
  for (auto& [host, routes] : m_routes_by_host) {
    std::stable_sort(routes.begin(), routes.end(), [](const auto& left, const auto& right) {
      return left->path_prefix.size() > right->path_prefix.size();
    });
  }
}

std::shared_ptr<const ForwardRoute> RouteTable::Find(std::string_view host,
                                                     std::string_view path) const {
  const auto routes = m_routes_by_host.find(CanonicalHost(host));
  if (routes == m_routes_by_host.end()) {
    return nullptr;
  }
  const std::string_view plain_path = path.substr(0, path.find('?'));
  for (const auto& route : routes->second) {
    if (plain_path.starts_with(route->path_prefix)) {
      return route;
    }
  }
  return nullptr;
}

}  // namespace zinnia
