#pragma once

#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** The source of the first report that a backend server is leaving. */
enum class LeavingSource { kList, kEngine, kOperator, kPeer };

std::string_view NameOf(LeavingSource source);

/** A row of the operators' view of leaving servers. */
struct LeavingMark {
  std::uint64_t incarnation = 0;
  LeavingSource source = LeavingSource::kList;
  TimePoint since{};
};

/** Tracks which backend servers are leaving, from the first report of any source.

    A mark applies to one incarnation and is never cleared, so that a stale or flapping list or
    engine cannot direct new work to a server that is about to stop. A restarted server has a higher
    incarnation and no mark. An operator's drain applies to all incarnations until it is removed
    from the configuration.

    Bounded: when full, the oldest mark is evicted; the list or the engine reports it again.
*/
class LeavingTracker {
 public:
  /** Marks an incarnation as leaving. Returns whether the mark is new and should be forwarded. */
  bool Mark(const BackendServerName& server,
            std::uint64_t incarnation,
            LeavingSource source,
            TimePoint now);

  /** Replaces the operators' drains. Returns whether they changed. */
  bool SetDrains(std::set<BackendServerName> drains);

  /** Whether the server must get no new work. `incarnation` is its highest known incarnation. */
  bool IsLeaving(const BackendServerName& server, std::uint64_t incarnation) const;

  const std::map<BackendServerName, LeavingMark>& marks() const { return m_marks; }
  const std::set<BackendServerName>& drains() const { return m_drains; }

 private:
  void DropOldest();

  std::map<BackendServerName, LeavingMark> m_marks;
  std::set<BackendServerName> m_drains;
};

}  // namespace zinnia
