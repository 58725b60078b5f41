#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** This chooser's sessions in flight at one backend server, with the times of the latest
    changes, by which a stale load report is corrected. */
class LocalServerLoad {
 public:
  void OnSent(TimePoint now);
  void OnFinished(TimePoint now);
  std::uint32_t InFlight() const { return m_in_flight; }

  /** Returns sessions sent minus sessions finished after `since`, and drops older changes. */
  double ChangeSince(TimePoint since);

 private:
  void RecordChange(TimePoint now, int change);

  std::uint32_t m_in_flight = 0;
  std::deque<std::pair<TimePoint, int>> m_changes;
};

/** The LocalServerLoad of each known backend server. Addresses of entries are stable.

    @see FleetIndex
*/
class LocalServerLoads {
 public:
  LocalServerLoad& Of(const BackendServerName& server) { return m_loads[server]; }

  /** Removes entries without sessions in flight for which `still_known` returns false. */
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
