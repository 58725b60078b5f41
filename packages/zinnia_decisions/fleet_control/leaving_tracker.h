#pragma once

#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Where the first sign that a backend server leaves came from. */
enum class LeavingSource { kList, kEngine, kOperator, kPeer };

std::string_view NameOf(LeavingSource source);

/** One row for operators. */
struct LeavingMark {
  std::uint64_t incarnation = 0;
  LeavingSource source = LeavingSource::kList;
  TimePoint since{};
};

/** Remembers which backend servers are leaving, from the first sign of any source.

    A mark holds for one incarnation and is never taken back: a list that lags or flaps, or an
    engine that changes its mind, cannot bring new work to a server that is about to stop. Only a
    higher incarnation, which is a restarted server, starts clean. An operator's drain is different:
    it holds for all incarnations and ends when the configuration no longer says it.

    Bounded: when full, the oldest mark goes; the list and the engine would give it again.
*/
class LeavingTracker {
 public:
  /** Marks that incarnation. Returns whether it was news, to be passed on. */
  bool Mark(const BackendServerName& server,
            std::uint64_t incarnation,
            LeavingSource source,
            TimePoint now);

  /** Replaces the operators' drains. Returns whether they changed. */
  bool SetDrains(std::set<BackendServerName> drains);

  /** Whether the server, whose highest known incarnation is given, may get no new work. */
  bool IsLeaving(const BackendServerName& server, std::uint64_t incarnation) const;

  const std::map<BackendServerName, LeavingMark>& marks() const { return m_marks; }
  const std::set<BackendServerName>& drains() const { return m_drains; }

 private:
  void DropOldest();

  std::map<BackendServerName, LeavingMark> m_marks;
  std::set<BackendServerName> m_drains;
};

}  // namespace zinnia
