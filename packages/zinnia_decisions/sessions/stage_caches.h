#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "zinnia_decisions/ports/step.h"
#include "zinnia_world/fleet/pipeline.h"

namespace zinnia {

/** What a driver believes that each stage of its route holds for the session.

    A belief may be wrong, since answers get lost; a stage refuses an adoption that it cannot make,
    and then the driver forgets the belief. So a wrong one costs a replay, never a wrong answer.

    @see CacheAdoption
*/
class StageCaches {
 public:
  /** Takes a new route, keeping what is believed of stages that stay. */
  void SetRoute(const Route& route);

  void Set(std::size_t hop, AttemptNumber attempt, std::uint32_t length);
  void Forget(std::size_t hop);

  /** The adoption that lets a new attempt start at `length`, if the stage should have it. */
  std::optional<CacheAdoption> AdoptionAt(std::size_t hop, std::uint32_t length) const;

  /** How many hops from the first on must be replayed so that all others can adopt at `length`:
      hidden states are not kept, so every hop before one without cache has to run again. */
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
