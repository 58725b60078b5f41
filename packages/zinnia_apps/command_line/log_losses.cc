#include "zinnia_apps/command_line/log_losses.h"

#include <fmt/format.h>

#include <fstream>

#include "zinnia_adapters/log_summary/loss_summary.h"
#include "zinnia_apps/command_line/report_error.h"
#include "zinnia_base/errors/error.h"

namespace zinnia {

ExitCode PrintLogLosses(const std::vector<std::string>& file_names,
                        const LossObjectives& objectives) {
  LossSummary summary(objectives);
  for (const std::string& file_name : file_names) {
    std::ifstream file(file_name);
    if (!file) {
      Error error = MakeError(ErrorKind::kInvalidCommand, "cannot read " + file_name);
      error.remedy = "name files with the lines that zinniad writes to standard output";
      return ReportError(error);
    }
    for (std::string line; std::getline(file, line);) {
      summary.AddLine(line);
    }
  }
  fmt::print("{}", summary.Table());
  return ExitCode::kDone;
}

}  // namespace zinnia
