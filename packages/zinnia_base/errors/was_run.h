#pragma once

#include <string_view>

namespace zinnia {

/** Whether a request that ended in an error was run.

    kNo guarantees that no backend server received any part of the request. Use kUnknown where that
    cannot be guaranteed.
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
