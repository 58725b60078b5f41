#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "zinnia_world/fleet/layer_range.h"

namespace zinnia {

/** Counts the chains that layer ranges can form at the same time: ranges that follow each other
    without gap or overlap from layer 0 to the last one, each used by one chain only. */
class ChainCounter {
 public:
  ChainCounter(std::uint32_t layers, const std::vector<LayerRange>& ranges);

  std::size_t Count() const { return m_count; }

  /** Adds the range if there is one more chain with it. Returns whether it was added. */
  bool AddIfItCompletesChain(const LayerRange& range);

 private:
  /** Extends the maximum flow from layer 0 to the last layer by one unit, if possible. */
  bool Augment();
  bool AugmentFrom(std::uint32_t layer, std::vector<bool>& visited);

  std::uint32_t m_layers;
  std::vector<LayerRange> m_ranges;

  /** Whether the range at the same index belongs to a chain. */
  std::vector<bool> m_used;
  std::size_t m_count = 0;
};

}  // namespace zinnia
