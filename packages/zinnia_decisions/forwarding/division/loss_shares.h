#pragma once

#include <map>
#include <optional>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class LoadTracker;

/** This instance's share of the streams of servers that are lost.

    Remembers each server's largest use of the last seconds, since the uses of a lost server shrink
    while its streams are moved, and leave the reports afterwards.
*/
class LossShares {
 public:
  /** All references must outlive the object. */
  LossShares(const Clock& clock, const LoadTracker& loads) : m_clock(clock), m_loads(loads) {}

  /** Call after each report on the use of servers. */
  void OnReports();

  /** Own use of a server relative to that of all instances, by memory. Nothing if no report showed
      the server in use within the last seconds. */
  std::optional<double> ShareOfLoss(const BackendServerName& lost) const;

 private:
  struct Use {
    TimePoint seen_at{};
    double own = 0.0;
    double total = 0.0;
  };

  void Remember(const BackendServerName& server);

  const Clock& m_clock;
  const LoadTracker& m_loads;
  std::map<BackendServerName, Use> m_uses;
};

}  // namespace zinnia
