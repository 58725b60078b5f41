#pragma once

#include <map>
#include <utility>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** The requests in flight of each member of a relay's failure domain, as last reported, and their
    sum.

    A relay sends each member the sum over the others: one row per member would be many times
    larger, and no decision depends on whose request it is.

    Used on the control thread only. */
class MemberLoads {
 public:
  explicit MemberLoads(const Clock& clock) : m_clock(clock) {}

  void Set(const InstanceName& member, LoadTracker::Uses uses);

  /** The sum over `own` and all members. Reports older than LoadTracker::kReportLifetime are
      dropped. */
  LoadTracker::Uses Sum(const LoadTracker::Uses& own);

  /** Returns `sum` less the last report of `member`. */
  LoadTracker::Uses SumWithout(const InstanceName& member, const LoadTracker::Uses& sum) const;

 private:
  const Clock& m_clock;
  std::map<InstanceName, std::pair<TimePoint, LoadTracker::Uses>> m_members;
};

}  // namespace zinnia
