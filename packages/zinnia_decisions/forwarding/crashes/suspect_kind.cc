#include "zinnia_decisions/forwarding/crashes/suspect_kind.h"

#include <array>
#include <cstddef>

namespace zinnia {
namespace {

constexpr std::array<std::string_view, 2> kNames = {"request", "prompt_part"};

}  // namespace

std::string_view NameOf(SuspectKind kind) {
  return kNames.at(static_cast<std::size_t>(kind));
}

}  // namespace zinnia
