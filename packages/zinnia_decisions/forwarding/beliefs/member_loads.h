#pragma once

#include <map>
#include <utility>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/beliefs/load_book.h"
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

  void Set(const InstanceName& member, LoadBook::Uses uses);

  /** What has not been renewed within LoadBook::kReportLifetime no longer counts. */
  LoadBook::Uses Sum(const LoadBook::Uses& own);

  /** `sum` without what this member said of itself. */
  LoadBook::Uses Without(const InstanceName& member, const LoadBook::Uses& sum) const;

 private:
  const Clock& m_clock;
  std::map<InstanceName, std::pair<TimePoint, LoadBook::Uses>> m_members;
};

}  // namespace zinnia
