#pragma once

#include <set>
#include <vector>

#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/forwarding/server_entry.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

struct EngineProfile;

/** What a spare takes of a missing range. */
struct SpareShare {
  BackendServerName server;
  LayerRange layers;
};

/** The engines of a pool as a choice of spares sees them. */
struct SparePool {
  /** With the layers that they hold or are to hold; without those that do not serve. */
  std::vector<ServerEntry> engines;

  /** Not to be taken: they are moving already, or hold nothing yet. */
  std::set<BackendServerName> busy;

  /** Came late and got what the pool lacked, so that no chain rests on them. */
  std::set<BackendServerName> extras;
};

/** Which engines share a range whose holder was lost, until it has one again.

    Only engines that their failure domain can do without, and the slowest first: they are the
    cheapest to take out of service. One that is as fast as the lost one would only move the gap to
    another chain, unless it is an extra, which then takes the range alone.
*/
class SpareChooser {
 public:
  /** Nothing if the spares' memory does not suffice. `left` is the holder that was lost. */
  static std::vector<SpareShare> DivideRange(const EngineProfile& profile,
                                             const SparePool& pool,
                                             const ServerEntry& left,
                                             const LayerRange& missing);
};

}  // namespace zinnia
