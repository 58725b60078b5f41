#include "zinnia_decisions/sessions/stage_caches.h"

#include <algorithm>
#include <utility>

namespace zinnia {

void StageCaches::SetRoute(const Route& route) {
  std::vector<HopCache> hops;
  for (const Route::Hop& hop : route.hops) {
    const auto old = std::find_if(m_hops.begin(), m_hops.end(),
                                  [&hop](const HopCache& cache) { return cache.hop == hop; });
    hops.push_back(old == m_hops.end() ? HopCache{hop} : *old);
  }
  m_hops = std::move(hops);
}

void StageCaches::Set(std::size_t hop, AttemptNumber attempt, std::uint32_t length) {
  m_hops[hop].attempt = attempt;
  m_hops[hop].length = length;
}

void StageCaches::Invalidate(std::size_t hop) {
  Set(hop, 0, 0);
}

std::optional<CacheAdoption> StageCaches::AdoptionAt(std::size_t hop, std::uint32_t length) const {
  const HopCache& cache = m_hops[hop];
  if (length == 0 || cache.length < length) {
    return std::nullopt;
  }
  return CacheAdoption{cache.attempt, length};
}

std::size_t StageCaches::HopsToReplay(std::uint32_t length) const {
  std::size_t hops = m_hops.size();
  while (hops > 0 && AdoptionAt(hops - 1, length)) {
    --hops;
  }
  return hops;
}

}  // namespace zinnia
