#pragma once

#include <set>
#include <vector>

#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/forwarding/server_entry.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

struct EngineProfile;

/** The part of a missing range assigned to one spare. */
struct SpareShare {
  BackendServerName server;
  LayerRange layers;
};

/** The engines from which spares are chosen. */
struct SparePool {
  /** Engines in service, with the layers they hold or are assigned. */
  std::vector<ServerEntry> engines;

  /** Engines that cannot be spares: they already cover a range or hold no layers. */
  std::set<BackendServerName> busy;

  /** Engines that registered after the pool was planned. No chain depends on them. */
  std::set<BackendServerName> late_engines;
};

/** Chooses engines that cover a range whose holder was lost.

    Spares are engines that their failure domain can do without, slowest first, since these reduce
    capacity least. An engine as fast as the lost one is not used, as that would move the gap to
    another chain, unless it is a late engine. A spare with the accelerator of the lost engine
    covers the range alone if it can hold it. Others get parts in proportion to their memory, none
    more than it can hold: with room for requests beside, which is small if there are few spares and
    nobody else holds the range.
*/
class SpareChooser {
 public:
  /** Returns nothing if the spares cannot hold all of `missing`. `lost` is the lost holder. */
  static std::vector<SpareShare> DivideRange(const EngineProfile& profile,
                                             const SparePool& pool,
                                             const ServerEntry& lost,
                                             const LayerRange& missing);
};

}  // namespace zinnia
