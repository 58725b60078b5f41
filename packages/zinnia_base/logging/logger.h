#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace zinnia {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/** A key and its value in a log line. */
using LogField = std::pair<std::string_view, std::string>;

/** Writes one key=value line an event.

    Never pass prompts, answers, keys or other secrets as fields. Safe to call from any thread.

    @see StandardErrorLogger
*/
class Logger {
 public:
  virtual ~Logger() = default;
  virtual void Log(LogLevel level,
                   std::string_view event,
                   std::initializer_list<LogField> fields) = 0;
};

/** "level=info event=... key=value ..."; values with spaces, quotes or line ends are quoted. */
std::string FormatLogLine(LogLevel level,
                          std::string_view event,
                          std::initializer_list<LogField> fields);

}  // namespace zinnia
