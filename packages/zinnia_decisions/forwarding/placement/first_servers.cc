#include "zinnia_decisions/forwarding/placement/first_servers.h"

#include <algorithm>

#include "zinnia_decisions/forwarding/placement/chain_counter.h"
#include "zinnia_world/forwarding/engine_profile.h"
#include "zinnia_world/forwarding/server_entry.h"

namespace zinnia {

FirstServers::FirstServers(const EngineProfile& profile,
                           const FailureDomainName& domain,
                           const std::vector<ServerEntry>& engines)
    : m_profile(profile),
      m_capacity(profile, domain, engines),
      m_starts(profile.layers + 1, 0),
      m_ends(profile.layers + 1, 0) {
  for (const ServerEntry& engine : engines) {
    const LayerRange& layers = engine.layers;
    if (engine.failure_domain != domain || layers.Count() == 0 || layers.end > profile.layers) {
      continue;
    }
    m_engines.push_back(engine);
    ++m_starts[layers.first];
    ++m_ends[layers.end];
    m_slots += layers.first == 0 ? engine.most_requests : 0.0;
  }
  // FindLost() tries short ranges first: a late engine may start at the end of a longer one that
  // would complete the same chain.
  std::stable_sort(m_engines.begin(), m_engines.end(),
                   [](const ServerEntry& one, const ServerEntry& other) {
                     return one.layers.first < other.layers.first;
                   });
}

double FirstServers::RequestsWithMemory(const LayerRange& excluded) const {
  const double tokens = m_profile.usual_prompt_tokens + m_profile.usual_answer_tokens;
  return tokens <= 0.0 ? 0.0 : m_capacity.MinTokensOutside(excluded) / tokens;
}

bool FirstServers::IsShortOf(const LayerRange& range) const {
  return range.first == 0 && range.Count() > 0 && range.end < m_profile.layers &&
         HasSurplusStart(range.end) && m_slots < RequestsWithMemory(range);
}

std::vector<LostFirstRange> FirstServers::FindLost() const {
  std::vector<LayerRange> ranges;
  for (const ServerEntry& engine : m_engines) {
    ranges.push_back(engine.layers);
  }
  ChainCounter chains(m_profile.layers, ranges);
  std::vector<LostFirstRange> lost;
  for (const ServerEntry& engine : m_engines) {
    const LayerRange range = {0, engine.layers.first};
    const bool is_known = std::any_of(lost.begin(), lost.end(), [&](const LostFirstRange& known) {
      return known.layers == range;
    });
    if (!is_known && IsShortOf(range) &&
        range.Count() <= m_profile.MostLayers(engine.accelerator) &&
        chains.AddIfItCompletesChain(range)) {
      lost.push_back({range, engine.accelerator});
    }
  }
  return lost;
}

bool FirstServers::IsDispensable(const ServerEntry& engine) const {
  const LayerRange& layers = engine.layers;
  return layers.first > 0 && layers.Count() > 0 && layers.end <= m_profile.layers &&
         HasSurplusStart(layers.first) &&
         (layers.end == m_profile.layers || HasSurplusEnd(layers.end));
}

}  // namespace zinnia
