#include "zinnia_decisions/forwarding/placement/chain_counter.h"

namespace zinnia {

ChainCounter::ChainCounter(std::uint32_t layers, const std::vector<LayerRange>& ranges)
    : m_layers(layers) {
  for (const LayerRange& range : ranges) {
    if (range.Count() > 0 && range.end <= layers) {
      m_ranges.push_back(range);
    }
  }
  m_used.assign(m_ranges.size(), false);
  while (layers > 0 && Augment()) {
    ++m_count;
  }
}

bool ChainCounter::AddIfItCompletesChain(const LayerRange& range) {
  if (range.Count() == 0 || range.end > m_layers) {
    return false;
  }
  m_ranges.push_back(range);
  m_used.push_back(false);
  if (Augment()) {
    ++m_count;
    return true;
  }
  m_ranges.pop_back();
  m_used.pop_back();
  return false;
}

bool ChainCounter::Augment() {
  std::vector<bool> visited(m_layers + 1, false);
  visited[0] = true;
  return AugmentFrom(0, visited);
}

/** Depth-first search for a path to the last layer over unused ranges, or backwards over used ones,
    which then leave their chain. The depth is at most the number of layers. */
bool ChainCounter::AugmentFrom(std::uint32_t layer, std::vector<bool>& visited) {
  if (layer == m_layers) {
    return true;
  }
  for (std::size_t index = 0; index < m_ranges.size(); ++index) {
    const bool is_used = m_used[index];
    const std::uint32_t from = is_used ? m_ranges[index].end : m_ranges[index].first;
    const std::uint32_t next = is_used ? m_ranges[index].first : m_ranges[index].end;
    if (from != layer || visited[next]) {
      continue;
    }
    visited[next] = true;
    if (AugmentFrom(next, visited)) {
      m_used[index] = !is_used;
      return true;
    }
  }
  return false;
}

}  // namespace zinnia
