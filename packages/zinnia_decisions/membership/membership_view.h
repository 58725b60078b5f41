#pragma once

#include <string>
#include <vector>

#include "zinnia_world/fleet/instance.h"

namespace zinnia {

/** Hears of changes in the set of live instances. */
class MembershipListener {
 public:
  virtual ~MembershipListener() = default;
  virtual void OnMembershipChanged() = 0;
};

/** Which instances are believed to be alive. Beliefs differ between instances for a while: use it
   to spread work and to choose who tries first, never as the proof that only one acts. */
class MembershipView {
 public:
  virtual ~MembershipView() = default;
  virtual const Instance& Self() const = 0;

  /** Alive or suspect instances with this one among them, sorted by name. */
  virtual std::vector<Instance> LiveInstances() const = 0;

  virtual void AddListener(MembershipListener& listener) = 0;
  virtual void RemoveListener(MembershipListener& listener) = 0;
};

}  // namespace zinnia
