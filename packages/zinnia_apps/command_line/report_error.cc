#include "zinnia_apps/command_line/report_error.h"

#include <fmt/format.h>

#include <cstdio>

namespace zinnia {

ExitCode ReportError(const Error& error) {
  fmt::print(stderr, "{}: {}\nremedy: {}\n", NameOf(error.kind), error.message, error.remedy);
  return error.kind == ErrorKind::kInvalidCommand ? ExitCode::kWrongUsage : ExitCode::kFailed;
}

}  // namespace zinnia
