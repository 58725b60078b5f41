#pragma once

#include <optional>
#include <set>
#include <utility>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/forwarding/path_part.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** The refused moves of one stream since its last event, and whether another may follow at once.

    A refused path is not tried again: the server that refused, or all servers that were new in the
    path if none is named, are avoided until the stream makes progress.
*/
class MoveAttempts {
 public:
  /** Number of retries at once after refused moves. After one more refusal the stream waits until
     its first server is abandoned. Each costs one round trip to the first server. */
  static constexpr int kMaxRetries = 2;

  /** A move was refused because of these parts; see RefusedParts. */
  void OnRefused(const LayerPath& parts);

  /** An event has arrived. */
  void OnProgress();

  /** Whether another path may be tried at once. `pause`: time since the last event. */
  bool MayRetry(Duration pause, Duration event_gap_objective) const;

  /** The stream stays where it is. Returns whether this is the first time. */
  bool OnLeft() { return !std::exchange(m_is_left, true); }

  /** Servers of refused paths. */
  const std::set<BackendServerName>& RefusedServers() const { return m_refused; }

 private:
  int m_refusals = 0;
  bool m_is_left = false;
  std::set<BackendServerName> m_refused;
};

/** The parts of `path` that `present` does not contain. */
LayerPath NewParts(const LayerPath& present, const LayerPath& path);

/** The parts of the refused `path` that may have caused the refusal: that of the named server, or
    all new parts. */
LayerPath RefusedParts(const LayerPath& present,
                       const LayerPath& path,
                       const std::optional<NetworkAddress>& refused_by);

}  // namespace zinnia
