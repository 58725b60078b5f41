#include "zinnia_decisions/forwarding/placement/layer_division.h"

#include <algorithm>
#include <cmath>

namespace zinnia {

std::vector<LayerRange> DivideLayers(const LayerRange& range, const std::vector<LayerPart>& parts) {
  double memory = 0.0;
  std::uint64_t most_of_rest = 0;
  for (const LayerPart& part : parts) {
    memory += part.memory_mb;
    most_of_rest += part.most_layers;
  }
  if (most_of_rest < range.Count() || memory <= 0.0) {
    return {};
  }
  std::vector<LayerRange> ranges;
  double memory_before = 0.0;
  std::uint32_t first = range.first;
  for (const LayerPart& part : parts) {
    memory_before += part.memory_mb;
    most_of_rest -= part.most_layers;
    const auto proportional =
        range.first +
        static_cast<std::uint32_t>(std::lround(range.Count() * memory_before / memory));
    // What the parts behind this one cannot take stays here.
    const std::uint64_t left = range.end - first;
    const auto least =
        first + static_cast<std::uint32_t>(left > most_of_rest ? left - most_of_rest : 0);
    const std::uint32_t most = std::min(first + part.most_layers, range.end);
    const std::uint32_t end = std::clamp(proportional, least, most);
    ranges.push_back({first, end});
    first = end;
  }
  return ranges;
}

}  // namespace zinnia
