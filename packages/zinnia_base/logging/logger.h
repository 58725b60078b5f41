#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace zinnia {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/** A key and value of a log line. */
using LogField = std::pair<std::string_view, std::string>;

/** Writes one line of key=value fields per event. Thread-safe.

    Never pass prompts, responses, API keys or other secrets as fields.

    @see StandardErrorLogger
*/
class Logger {
 public:
  virtual ~Logger() = default;
  virtual void Log(LogLevel level,
                   std::string_view event,
                   std::initializer_list<LogField> fields) = 0;
};

/** Formats a line as `level=info event=... key=value ...`, quoting values where necessary. */
std::string FormatLogLine(LogLevel level,
                          std::string_view event,
                          std::initializer_list<LogField> fields);

}  // namespace zinnia
