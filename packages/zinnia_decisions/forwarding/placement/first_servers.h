#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zinnia_decisions/forwarding/placement/domain_capacity.h"
#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

struct EngineProfile;
struct ServerEntry;

/** A range from layer 0 that no engine holds for a chain, and the accelerator of the engine that
    follows it there. */
struct LostFirstRange {
  LayerRange layers;
  std::string accelerator;
};

/** Number of requests that the first servers of one failure domain can begin.

    An engine may run any part of the range it holds, so the engines of a chain that lost one can be
    used through other chains that hold the lost layers. Only first servers can begin requests, and
    each a limited number at once. A chain without its first server therefore leaves memory unused
    if the other first servers cannot begin as many requests as the domain has memory for.

    Whether a chain lacks an engine is derived from the ranges held, so that a new holder of the
    order role finds the same as the previous one.
*/
class FirstServers {
 public:
  /** `engines` carry the layers they hold or are assigned. Engines of other failure domains are
      ignored. The profile must outlive the object. */
  FirstServers(const EngineProfile& profile,
               const FailureDomainName& domain,
               const std::vector<ServerEntry>& engines);

  /** Returns whether a chain lacks an engine with `range`, which starts at layer 0, and the first
      servers cannot begin as many requests of usual size as the other layers have memory for. A
      chain lacks it if more engines start at the end of `range` than end there. */
  bool IsShortOf(const LayerRange& range) const;

  /** Returns the ranges that IsShortOf() and with which the domain would have one more chain of
      engines that fit together over all layers. Late engines and second holders that start in the
      middle of the model do not form such chains. */
  std::vector<LostFirstRange> FindLost() const;

  /** Returns whether no chain depends on the engine: on both sides there are fewer engines that it
      could be joined to than engines that could be joined to them. */
  bool IsDispensable(const ServerEntry& engine) const;

 private:
  double RequestsWithMemory(const LayerRange& excluded) const;

  bool HasSurplusStart(std::uint32_t layer) const { return m_starts[layer] > m_ends[layer]; }
  bool HasSurplusEnd(std::uint32_t layer) const { return m_ends[layer] > m_starts[layer]; }

  const EngineProfile& m_profile;
  DomainCapacity m_capacity;

  /** Engines of the domain that hold layers, by first layer. */
  std::vector<ServerEntry> m_engines;

  /** Number of engines whose range starts or ends at each layer boundary. */
  std::vector<std::uint32_t> m_starts;
  std::vector<std::uint32_t> m_ends;

  /** Requests that the first servers can run at once. */
  double m_slots = 0.0;
};

}  // namespace zinnia
