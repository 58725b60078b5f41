#pragma once

#include <map>
#include <optional>
#include <vector>

#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

struct EngineProfile;
struct ServerEntry;

/** Plans which layers each engine of a pool holds.

    An empty pool is planned as a whole. Chains of engines that hold every layer once are formed
    from the fastest accelerators of one failure domain, since hops and crossings between domains
    add latency to every token. Layers are distributed by memory, so that all stages reach their
    capacity at the same load. Remaining engines of a domain with a chain become second holders of
    its ranges, so that requests can bypass a lost stage without a load and without using the
    inter-domain link.

    Engines that arrive later get the range with the least capacity. Engines that hold a range keep
    it, since loading takes seconds.
*/
class LayerPlanner {
 public:
  using Ranges = std::map<BackendServerName, LayerRange>;

  /** Returns ranges for the engines of a pool in which no engine holds layers. Engines that do not
      complete a chain get the ranges with the least capacity. */
  static Ranges PlanPool(const EngineProfile& engine, const std::vector<ServerEntry>& servers);

  /** Returns the range for one engine without layers, or nothing if it cannot hold a layer.
      `holders` are the engines that hold layers or are assigned some, with these ranges. */
  static std::optional<LayerRange> RangeFor(const EngineProfile& engine,
                                            const ServerEntry& server,
                                            const std::vector<ServerEntry>& holders);
};

}  // namespace zinnia
