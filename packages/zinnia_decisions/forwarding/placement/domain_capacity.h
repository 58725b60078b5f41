#pragma once

#include <vector>

#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

struct EngineProfile;
struct ServerEntry;

/** Token capacity of the engines of one failure domain, by layer.

    A request runs through all layers, so the layer with the lowest capacity limits how many
    requests the domain can serve.
*/
class DomainCapacity {
 public:
  /** `engines` carry the layers they hold or are assigned. Engines of other failure domains are
      ignored. The profile must outlive the object. */
  DomainCapacity(const EngineProfile& profile,
                 const FailureDomainName& domain,
                 const std::vector<ServerEntry>& engines);

  /** Returns the contiguous layer ranges within `range` whose capacity is far below the median of
      this domain, or zero. */
  std::vector<LayerRange> FindShortages(const LayerRange& range) const;

  /** Returns the lowest capacity of the layers that are not in `range`, 0 if there are none. */
  double MinTokensOutside(const LayerRange& range) const;

  /** Returns whether more than half of the layers have no holder, so that the domain has no chain
      of its own. */
  bool IsMostlyUncovered() const;

  /** Returns whether no engine has memory for requests in some layer of the range. */
  bool HasUncoveredLayer(const LayerRange& range) const;

  /** Returns whether all layers of the engine keep enough capacity without it. */
  bool CanSpare(const ServerEntry& engine) const;

  /** Subtracts the capacity of the engine. */
  void Remove(const ServerEntry& engine);

 private:
  double TokensPerLayer(const ServerEntry& engine) const;

  const EngineProfile& m_profile;
  std::vector<double> m_tokens;
  double m_min_tokens = 0.0;
};

}  // namespace zinnia
