#pragma once

#include <map>
#include <optional>
#include <vector>

#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

struct EngineProfile;
struct ServerEntry;

/** Decides which layers each engine of a pool is to hold.

    A pool that holds nothing is planned whole: chains of engines that hold every layer once, the
    fastest accelerators of one failure domain together, since each hop and each crossing between
    failure domains costs every token. Inside a chain layers go by memory, so that all stages run
    out of room for requests at the same load. Engines that are left over in a failure domain with
    a chain hold its ranges a second time, so that requests go round a lost stage at once, without
    a load and without the pipe between failure domains.

    Engines that come later get the range that the pool lacks most; engines that hold a range keep
    it, as loading costs seconds.
*/
class LayerPlanner {
 public:
  using Ranges = std::map<BackendServerName, LayerRange>;

  /** Ranges for all engines of a pool of which none holds any layer. Engines that cannot complete a
      chain get spare ranges. */
  static Ranges PlanPool(const EngineProfile& engine, const std::vector<ServerEntry>& servers);

  /** The range for one engine without layers, beside those that hold or load some (`planned` has
      the ranges of those that load). Nothing if it cannot hold a layer. */
  static std::optional<LayerRange> RangeFor(const EngineProfile& engine,
                                            const ServerEntry& server,
                                            const std::vector<ServerEntry>& holders);
};

}  // namespace zinnia
