#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/forwarding/server_entry.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Tracks the servers that asked this instance to send them no requests for a while.

    A pause is not shared with peers: the server asks each instance that it turns away. It ends with
    its time or with a later incarnation of the server, never with an answer, which may be to a
    request that was sent before. The incarnation that asked may become known only afterwards, as
    when a store has come back from an older copy.

    Not thread-safe; belongs to one traffic thread.
*/
class ServerPauses {
 public:
  /** A server that asks for more is tried again after this time, as it may have erred. */
  static constexpr Duration kMaxPause = std::chrono::minutes(10);

  explicit ServerPauses(const Clock& clock) : m_clock(clock) {}

  /** The server turned a request away and asked for a pause. A longer pause asked for earlier is
      kept. */
  void OnPauseRequested(const BackendServerName& server,
                        Duration pause,
                        const std::string& registration = {});

  /** Applies pauses of servers that are not in use any more to other incarnations of the same
      registration, if these had started before the pause was asked for. */
  void MoveToKnownIncarnations(const std::map<BackendServerName, ServerEntry>& servers);

  /** Zero if the server has not asked for a pause, or the pause is over. */
  Duration TimeLeft(const BackendServerName& server) const;

  /** Number of servers that are pausing now. */
  std::size_t CountInForce() const;

  /** Forgets pauses that are over. Others are kept even if the server's entry is missing, since it
      may have lapsed and may return. */
  void Prune();

 private:
  struct Pause {
    TimePoint ends_at{};
    WallTimePoint asked_at{};

    /** Empty if unknown. */
    std::string registration;
  };

  const Clock& m_clock;
  std::map<BackendServerName, Pause> m_pauses;
};

}  // namespace zinnia
