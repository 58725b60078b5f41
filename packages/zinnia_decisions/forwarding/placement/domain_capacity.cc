#include "zinnia_decisions/forwarding/placement/domain_capacity.h"

#include <algorithm>
#include <cassert>

#include "zinnia_decisions/forwarding/paths/path_finder.h"
#include "zinnia_world/forwarding/engine_profile.h"
#include "zinnia_world/forwarding/server_entry.h"

namespace zinnia {
namespace {

/** A layer below this share of the median capacity limits the requests of the whole domain, for
    example where two slow engines replace a fast one: they have room for a third of the tokens that
    the other stages hold. */
constexpr double kMinShareOfMedianCapacity = 0.5;

/** Capacity below one token counts as zero, since sums of doubles are inexact. */
constexpr double kMinCapacityTokens = 1.0;

double MedianOf(std::vector<double> values) {
  if (values.empty()) {
    return 0.0;
  }
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

DomainCapacity::DomainCapacity(const EngineProfile& profile,
                               const FailureDomainName& domain,
                               const std::vector<ServerEntry>& engines)
    : m_profile(profile), m_tokens(profile.layers, 0.0) {
  for (const ServerEntry& engine : engines) {
    if (engine.failure_domain != domain) {
      continue;
    }
    const double tokens = TokensPerLayer(engine);
    for (std::uint32_t layer = engine.layers.first;
         layer < std::min(engine.layers.end, profile.layers); ++layer) {
      m_tokens[layer] += tokens;
    }
  }
  m_min_tokens = std::max(kMinCapacityTokens, MedianOf(m_tokens) * kMinShareOfMedianCapacity);
}

double DomainCapacity::TokensPerLayer(const ServerEntry& engine) const {
  const std::uint32_t count = engine.layers.Count();
  return count == 0 ? 0.0 : TokenLayerCapacity(m_profile, engine) / count;
}

std::vector<LayerRange> DomainCapacity::FindShortages(const LayerRange& range) const {
  std::vector<LayerRange> shortages;
  for (std::uint32_t layer = range.first; layer < range.end && layer < m_tokens.size(); ++layer) {
    if (m_tokens[layer] >= m_min_tokens) {
      continue;
    }
    if (shortages.empty() || shortages.back().end != layer) {
      shortages.push_back({layer, layer});
    }
    shortages.back().end = layer + 1;
  }
  return shortages;
}

double DomainCapacity::MinTokensOutside(const LayerRange& range) const {
  std::vector<double> outside;
  for (std::uint32_t layer = 0; layer < m_tokens.size(); ++layer) {
    if (layer < range.first || layer >= range.end) {
      outside.push_back(m_tokens[layer]);
    }
  }
  return outside.empty() ? 0.0 : *std::min_element(outside.begin(), outside.end());
}

bool DomainCapacity::IsMostlyUncovered() const {
  const auto empty = std::count_if(m_tokens.begin(), m_tokens.end(),
                                   [](double tokens) { return tokens < kMinCapacityTokens; });
  return static_cast<std::size_t>(empty) * 2 > m_tokens.size();
}

bool DomainCapacity::HasUncoveredLayer(const LayerRange& range) const {
  for (std::uint32_t layer = range.first; layer < range.end && layer < m_tokens.size(); ++layer) {
    if (m_tokens[layer] < kMinCapacityTokens) {
      return true;
    }
  }
  return false;
}

bool DomainCapacity::CanSpare(const ServerEntry& engine) const {
  const double own = TokensPerLayer(engine);
  for (std::uint32_t layer = engine.layers.first; layer < engine.layers.end; ++layer) {
    if (layer >= m_tokens.size() || m_tokens[layer] - own < m_min_tokens) {
      return false;
    }
  }
  return true;
}

void DomainCapacity::Remove(const ServerEntry& engine) {
  assert(engine.layers.end <= m_tokens.size() && "an engine of another model");
  for (std::uint32_t layer = engine.layers.first; layer < engine.layers.end; ++layer) {
    m_tokens[layer] -= TokensPerLayer(engine);
  }
}

}  // namespace zinnia
