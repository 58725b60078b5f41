#include "zinnia_adapters/settings/settings_fault.h"

#include <fmt/format.h>

namespace zinnia {

std::string Describe(const SettingsFault& fault) {
  const std::string where = fault.path.empty() ? "the settings" : fault.path;
  return fmt::format("{}: {} ({})", where, fault.what, fault.remedy);
}

}  // namespace zinnia
