#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia_world/forwarding/forward_route.h"

namespace zinnia {

struct ForwardingRules;

/** Finds the route of a request: among those of its host, the one with the longest prefix of the
    path. Hosts compare without case and without a port. */
class RouteTable {
 public:
  explicit RouteTable(const ForwardingRules& rules);

  /** Null if no route fits. `path` may carry a query. */
  std::shared_ptr<const ForwardRoute> Find(std::string_view host, std::string_view path) const;

 private:
  using Routes = std::vector<std::shared_ptr<const ForwardRoute>>;

  /** By host; the longest prefixes first. */
  std::map<std::string, Routes> m_routes_by_host;
};

}  // namespace zinnia
