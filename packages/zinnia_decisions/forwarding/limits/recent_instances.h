#pragma once

#include <map>
#include <memory>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/instance.h"

namespace zinnia {

/** The instances that live, and those that did some seconds ago: who takes part when a bound is
    divided.

    Divided between those alive now, each part would grow as soon as an instance is out of sight.
   One that restarts is back within seconds, and one that is only cut off goes on with its part: the
    parts of both sides together would be more than the whole.
*/
class RecentInstances {
 public:
  explicit RecentInstances(const Clock& clock) : m_clock(clock) {}

  /** The same object as before while nothing has changed. */
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
