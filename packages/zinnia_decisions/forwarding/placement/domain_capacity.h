#pragma once

#include <vector>

#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

struct EngineProfile;
struct ServerEntry;

/** How many tokens the engines of one failure domain have room for in each layer.

    A request runs through all layers, so the layer with the least room bounds how many the domain
    serves, however much memory the others have left.
*/
class DomainCapacity {
 public:
  /** `engines` have the layers that they hold or are to hold; those of other failure domains are
      left out. The profile must outlive it. */
  DomainCapacity(const EngineProfile& profile,
                 const FailureDomainName& domain,
                 const std::vector<ServerEntry>& engines);

  /** The runs of layers of `range` that are not held, or with much less room than is usual here. */
  std::vector<LayerRange> FindShortages(const LayerRange& range) const;

  /** Whether most layers have no holder: then the domain has no chain of its own. */
  bool IsMostlyUncovered() const;

  /** Whether all its layers keep enough room without it. */
  bool CanSpare(const ServerEntry& engine) const;

  /** Counts without it from now on. */
  void Remove(const ServerEntry& engine);

 private:
  double TokensPerLayer(const ServerEntry& engine) const;

  const EngineProfile& m_profile;
  std::vector<double> m_tokens;
  double m_min_tokens = 0.0;
};

}  // namespace zinnia
