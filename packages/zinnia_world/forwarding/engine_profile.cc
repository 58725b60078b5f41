#include "zinnia_world/forwarding/engine_profile.h"

#include <algorithm>

namespace zinnia {
namespace {

constexpr double kBytesPerMegabyte = 1e6;

}  // namespace

std::uint32_t EngineProfile::MostLayers(const std::string& accelerator,
                                        double tokens_per_layer) const {
  const auto found = accelerators.find(accelerator);
  if (found == accelerators.end() || layers == 0) {
    return 0;
  }
  const double memory = found->second.memory_mb;
  const double cache_mb = tokens_per_layer * cache_bytes_per_token / layers / kBytesPerMegabyte;
  const double one_layer = layer_mb + cache_mb;
  if (one_layer <= 0.0) {
    return layers;
  }
  auto count = static_cast<std::uint32_t>(std::clamp<double>(memory / one_layer, 0.0, layers));
  while (count > 0 && count * one_layer > memory) {
    --count;  // The division was rounded up.
  }
  return count;
}

}  // namespace zinnia
