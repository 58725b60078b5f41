#pragma once

#include <cstdint>
#include <vector>

#include "zinnia_world/fleet/layer_range.h"

namespace zinnia {

/** What one engine may take of a division. */
struct LayerPart {
  double memory_mb = 0.0;
  std::uint32_t most_layers = 0;
};

/** Divides a range into adjacent ones, one for each part and in their order, in proportion to
   memory but never above `most_layers`. A part's range may be empty. Returns nothing if all parts
   together cannot take the range. */
std::vector<LayerRange> DivideLayers(const LayerRange& range, const std::vector<LayerPart>& parts);

}  // namespace zinnia
