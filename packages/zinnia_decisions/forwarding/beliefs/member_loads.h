#pragma once

#include <map>
#include <utility>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/beliefs/load_tracker.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** What the members of a relay's failure domain have in flight, each as it last said, and their
   sum.

    A relay tells each member the sum over the others: a row for each member would be forty times as
    much to send, and no decision needs to know whose request it is.

    Lives on the control thread.
*/
class MemberLoads {
 public:
  explicit MemberLoads(const Clock& clock) : m_clock(clock) {}

  void Set(const InstanceName& member, LoadTracker::Uses uses);

  /** What has not been renewed within LoadTracker::kReportLifetime no longer counts. */
  LoadTracker::Uses Sum(const LoadTracker::Uses& own);

  /** `sum` without what this member said of itself. */
  LoadTracker::Uses Without(const InstanceName& member, const LoadTracker::Uses& sum) const;

 private:
  const Clock& m_clock;
  std::map<InstanceName, std::pair<TimePoint, LoadTracker::Uses>> m_members;
};

}  // namespace zinnia
