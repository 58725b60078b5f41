#pragma once

#include <string>
#include <vector>

#include "zinnia_world/fleet/instance.h"

namespace zinnia {

/** Notified when the set of live instances changes. */
class MembershipListener {
 public:
  virtual ~MembershipListener() = default;
  virtual void OnMembershipChanged() = 0;
};

/** The instances observed to be alive. Views of different instances may diverge for a while: use
    them to distribute work, never for mutual exclusion. */
class MembershipView {
 public:
  virtual ~MembershipView() = default;
  virtual const Instance& Self() const = 0;

  /** Alive or suspect instances, including this one, sorted by name. */
  virtual std::vector<Instance> LiveInstances() const = 0;

  virtual void AddListener(MembershipListener& listener) = 0;
  virtual void RemoveListener(MembershipListener& listener) = 0;
};

}  // namespace zinnia
