#pragma once

#include <map>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Estimates how long servers will be busy with the prefill of streams that were moved to them.

    When a server is lost, many streams move within milliseconds and each repeats its prefill on the
    new servers. In-flight counts don't show this work, so all streams would choose the same path.
*/
class PrefillBacklog {
 public:
  explicit PrefillBacklog(const Clock& clock) : m_clock(clock) {}

  void Add(const BackendServerName& server, double work_ms);

  /** Time until the prefill work added so far is done. */
  double WaitMs(const BackendServerName& server) const;

 private:
  const Clock& m_clock;
  std::map<BackendServerName, TimePoint> m_busy_until;
};

}  // namespace zinnia
