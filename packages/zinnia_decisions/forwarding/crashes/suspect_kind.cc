#include "zinnia_decisions/forwarding/crashes/suspect_kind.h"

#include <cstddef>

namespace zinnia {
namespace {

constexpr std::array<std::string_view, kSuspectKinds.size()> kNames = {"request", "prompt_part"};

}  // namespace

std::string_view NameOf(SuspectKind kind) {
  return kNames.at(static_cast<std::size_t>(kind));
}

}  // namespace zinnia
