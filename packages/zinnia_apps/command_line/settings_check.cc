#include "zinnia_apps/command_line/settings_check.h"

#include <fmt/format.h>

#include "zinnia_adapters/settings/settings_checker.h"
#include "zinnia_adapters/settings/text_file.h"
#include "zinnia_apps/command_line/report_error.h"

namespace zinnia {

ExitCode CheckSettingsFile(const std::string& file_name) {
  const Result<std::string> text = ReadTextFile(file_name);
  if (!text) {
    return ReportError(text.error());
  }
  const std::vector<SettingsFault> faults = CheckSettings(*text);
  for (const SettingsFault& fault : faults) {
    fmt::print("{}\n", Describe(fault));
  }
  if (faults.empty()) {
    fmt::print("{}: no faults\n", file_name);
  }
  return faults.empty() ? ExitCode::kDone : ExitCode::kFailed;
}

}  // namespace zinnia
