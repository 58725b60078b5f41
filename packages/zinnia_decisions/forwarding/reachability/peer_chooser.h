#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "zinnia_base/random/random_source.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/instance.h"

namespace zinnia {

/** Chooses the instance that forwards requests for one that reaches no server itself.

    Any peer may be cut off as well; a cut may take a whole failure domain. So peers are chosen at
    random, which spreads the load, and those that could not help are left out for a while. */
class PeerChooser {
 public:
  /** `self` is never chosen. Both references must outlive this object. */
  PeerChooser(const Clock& clock, RandomSource& random, InstanceName self)
      : m_clock(clock), m_random(random), m_self(std::move(self)) {}

  /** Whether any instance takes requests of peers. */
  bool HasPeers(const std::vector<Instance>& instances) const;

  /** Returns a peer that is not in `avoided`; nullopt if there is none. */
  std::optional<Instance> Choose(const std::vector<Instance>& instances,
                                 const std::set<InstanceName>& avoided) const;

  /** The peer reaches no server either, or is not reached itself. */
  void Exclude(const InstanceName& peer);

 private:
  bool IsPeer(const Instance& instance) const;
  bool IsExcluded(const InstanceName& peer) const;

  const Clock& m_clock;
  RandomSource& m_random;
  const InstanceName m_self;
  std::map<InstanceName, TimePoint> m_excluded_until;
};

}  // namespace zinnia
