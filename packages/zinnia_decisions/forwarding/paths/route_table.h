#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia_world/forwarding/forward_route.h"

namespace zinnia {

struct ForwardingRules;

/** Finds the route of a request: the one with the longest matching path prefix among the routes of
    its host. Hosts are compared without case and port. */
class RouteTable {
 public:
  explicit RouteTable(const ForwardingRules& rules);

  /** Returns null if no route matches. `path` may include a query. */
  std::shared_ptr<const ForwardRoute> Find(std::string_view host, std::string_view path) const;

 private:
  using Routes = std::vector<std::shared_ptr<const ForwardRoute>>;

  /** Keyed by host. Routes with longer prefixes come first. */
  std::map<std::string, Routes> m_routes_by_host;
};

}  // namespace zinnia
