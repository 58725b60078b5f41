#pragma once

#include <optional>
#include <set>

#include "zinnia_base/random/random_source.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class LoadTracker;
class ServerHealth;
class ServerLimits;
struct ForwardingView;

/** Chooses a server of a plain service: the one with the lowest relative load, weighted by its
    failure rate, at random among equals. */
class PlainServerChooser {
 public:
  /** All references must outlive the object. */
  PlainServerChooser(const LoadTracker& loads,
                     const ServerHealth& health,
                     const ServerLimits& limits,
                     RandomSource& random)
      : m_loads(loads), m_health(health), m_limits(limits), m_random(random) {}

  /** Returns nothing if every server is draining, avoided, at its limit or pausing. Excluded
     servers are used only if no other is left: if all are excluded, a wrong exclusion is more
     likely than a failure of all servers. */
  std::optional<BackendServerName> Choose(const ForwardingView& view,
                                          const ServiceName& service,
                                          const std::set<BackendServerName>& avoided) const;

 private:
  const LoadTracker& m_loads;
  const ServerHealth& m_health;
  const ServerLimits& m_limits;
  RandomSource& m_random;
};

}  // namespace zinnia
