#pragma once

#include <map>
#include <memory>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/instance.h"

namespace zinnia {

/** Tracks the instances that are live or were live within the last seconds.

    Fleet-wide limits are divided between these instances. If only live ones were counted, an
    instance that restarts or is partitioned would enlarge the others' shares while it still uses
    its own, and the sum would exceed the limit.
*/
class RecentInstances {
 public:
  explicit RecentInstances(const Clock& clock) : m_clock(clock) {}

  /** Returns the same object as the previous call if the set of instances is unchanged. */
  std::shared_ptr<const std::vector<Instance>> Update(const std::vector<Instance>& live);

 private:
  struct Seen {
    Instance instance;
    TimePoint at{};
  };

  const Clock& m_clock;
  std::map<InstanceName, Seen> m_seen;
  std::shared_ptr<const std::vector<Instance>> m_instances;
};

}  // namespace zinnia
