#pragma once

#include <string_view>

namespace zinnia {

/** Whether a request that ends in an error was run.

    kNo is a promise: no backend server received any part of it. Whoever cannot prove that says
    kUnknown.
*/
enum class WasRun { kNo, kYes, kUnknown };

constexpr std::string_view NameOf(WasRun was_run) {
  switch (was_run) {
    case WasRun::kNo:
      return "no";
    case WasRun::kYes:
      return "yes";
    case WasRun::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace zinnia
