#pragma once

#include <map>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** How long servers will be busy reading again what streams had when they were moved.

    When a server is lost, some eighty streams are moved within a few milliseconds, and each reads
    its tokens again at its new servers. None of that shows in what is in flight there, so all would
    choose the same path and wait for each other.
*/
class PrefillBacklog {
 public:
  explicit PrefillBacklog(const Clock& clock) : m_clock(clock) {}

  void Add(const BackendServerName& server, double work_ms);

  /** Until what was added so far is read. */
  double WaitMs(const BackendServerName& server) const;

 private:
  const Clock& m_clock;
  std::map<BackendServerName, TimePoint> m_busy_until;
};

}  // namespace zinnia
