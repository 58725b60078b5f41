#include "zinnia_decisions/forwarding/crashes/crash_onset.h"

#include <array>
#include <cstddef>

namespace zinnia {
namespace {

constexpr std::array<std::string_view, 4> kNames = {"unknown", "queued", "begun", "running"};

}  // namespace

std::string_view NameOf(CrashOnset onset) {
  return kNames.at(static_cast<std::size_t>(onset));
}

}  // namespace zinnia
