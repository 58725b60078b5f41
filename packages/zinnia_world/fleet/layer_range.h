#pragma once

#include <compare>
#include <cstdint>

namespace zinnia {

/** The layers [first, end) of a model that a stage holds. */
struct LayerRange {
  std::uint32_t first = 0;
  std::uint32_t end = 0;

  std::uint32_t Count() const { return end - first; }
  auto operator<=>(const LayerRange&) const = default;
};

}  // namespace zinnia
