#pragma once

#include <deque>
#include <map>
#include <utility>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/observed_state/server_use.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** What this instance used of each server some time ago.

    Comparing its present use with older sums of the other instances would overestimate its share
    while the use of all grows: all together would claim more than there is.
*/
class UseHistory {
 public:
  /** The age that reports of other failure domains have at most, if none is lost. */
  static constexpr Duration kAge = std::chrono::milliseconds(1'600);

  explicit UseHistory(const Clock& clock) : m_clock(clock) {}

  /** Call after each change. */
  void Set(const BackendServerName& server, const ServerUse& use);

  /** The use `kAge` ago. */
  ServerUse PastUse(const BackendServerName& server) const;

  /** Drops servers that were not in use for `kAge`. Call from time to time. */
  void RemoveExpired();

 private:
  using Changes = std::deque<std::pair<TimePoint, ServerUse>>;

  const Clock& m_clock;

  /** Ascending by time. Changes in the same interval are merged. */
  std::map<BackendServerName, Changes> m_changes;
};

}  // namespace zinnia
