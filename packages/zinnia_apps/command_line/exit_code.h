#pragma once

namespace zinnia {

/** What `zinnia` ends with; scripts rely on the numbers. */
enum class ExitCode { kDone = 0, kFailed = 1, kWrongUsage = 2 };

}  // namespace zinnia
