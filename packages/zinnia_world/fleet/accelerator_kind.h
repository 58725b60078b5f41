#pragma once

#include <optional>
#include <string_view>

namespace zinnia {

/** The kinds of accelerator that backend servers run on, ordered from fastest to slowest. */
enum class AcceleratorKind { kLarge, kMedium, kSmall, kEdge };

std::string_view NameOf(AcceleratorKind kind);
std::optional<AcceleratorKind> AcceleratorKindFromName(std::string_view name);

}  // namespace zinnia
