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

/** Chooses a server of a plain service: the one with the most room among those that traffic finds
    good, at random among equals. */
class PlainServerChooser {
 public:
  /** All must outlive it. */
  PlainServerChooser(const LoadTracker& loads,
                     const ServerHealth& health,
                     const ServerLimits& limits,
                     RandomSource& random)
      : m_loads(loads), m_health(health), m_limits(limits), m_random(random) {}

  /** Nothing if no server takes requests, or each is at the limit that it named. Excluded servers
     are used if no other is left: with all of them suspected, the suspicion is more likely wrong
     than all servers dead. */
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
