#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** What this chooser itself has at one backend server: sessions in flight, and its latest sends
    and finishes with their times, so that a report can be corrected by what came after it. */
class LocalServerLoad {
 public:
  void OnSent(TimePoint now);
  void OnFinished(TimePoint now);
  std::uint32_t InFlight() const { return m_in_flight; }

  /** Sessions sent less sessions finished after `since`. Forgets what is older. */
  double ChangeSince(TimePoint since);

 private:
  void RecordChange(TimePoint now, int change);

  std::uint32_t m_in_flight = 0;
  std::deque<std::pair<TimePoint, int>> m_changes;
};

/** LocalServerLoad of every backend server in view. Entries keep their address while they exist.

    @see FleetIndex
*/
class LocalServerLoads {
 public:
  LocalServerLoad& Of(const BackendServerName& server) { return m_loads[server]; }

  /** Drops entries of idle servers that `still_known` does not name. */
  template <typename Predicate>
  void RemoveIdle(Predicate still_known) {
    std::erase_if(m_loads, [&](const auto& entry) {
      return entry.second.InFlight() == 0 && !still_known(entry.first);
    });
  }

 private:
  std::unordered_map<BackendServerName, LocalServerLoad> m_loads;
};

}  // namespace zinnia
