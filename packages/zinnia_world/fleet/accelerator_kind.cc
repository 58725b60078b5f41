#include "zinnia_world/fleet/accelerator_kind.h"

#include <array>
#include <utility>

namespace zinnia {
namespace {

constexpr std::array<std::pair<AcceleratorKind, std::string_view>, 4> kNames = {{
    {AcceleratorKind::kLarge, "large"},
    {AcceleratorKind::kMedium, "medium"},
    {AcceleratorKind::kSmall, "small"},
    {AcceleratorKind::kEdge, "edge"},
}};

}  // namespace

std::string_view NameOf(AcceleratorKind kind) {
  for (const auto& [value, name] : kNames) {
    if (value == kind) {
      return name;
    }
  }
  return "unknown";
}

std::optional<AcceleratorKind> AcceleratorKindFromName(std::string_view name) {
  for (const auto& [value, known_name] : kNames) {
    if (known_name == name) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace zinnia
