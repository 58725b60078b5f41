#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "zinnia_decisions/ports/step.h"
#include "zinnia_world/fleet/pipeline.h"

namespace zinnia {

/** Last known cache state of the session at each stage of its route.

    It may be out of date because answers can be lost. A stage rejects an adoption that it cannot
    perform and is then replayed, so stale state never leads to a wrong answer.

    @see CacheAdoption
*/
class StageCaches {
 public:
  /** Sets a new route, keeping the state of hops that are on both routes. */
  void SetRoute(const Route& route);

  void Set(std::size_t hop, AttemptNumber attempt, std::uint32_t length);
  void Invalidate(std::size_t hop);

  /** Returns the adoption for starting an attempt at `length`, if the cache is known to reach it.
   */
  std::optional<CacheAdoption> AdoptionAt(std::size_t hop, std::uint32_t length) const;

  /** Returns the number of leading hops to replay so that the others can adopt at `length`. Hidden
      states are not stored, so all hops before one without a cache are replayed. */
  std::size_t HopsToReplay(std::uint32_t length) const;

 private:
  struct HopCache {
    Route::Hop hop;
    AttemptNumber attempt = 0;
    std::uint32_t length = 0;
  };

  std::vector<HopCache> m_hops;
};

}  // namespace zinnia
