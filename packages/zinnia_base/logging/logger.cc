#include "zinnia_base/logging/logger.h"

#include <fmt/format.h>

#include <iterator>

namespace zinnia {
namespace {

std::string_view NameOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      break;
  }
  return "error";
}

void AppendValue(std::string& line, std::string_view value) {
  const bool plain = !value.empty() && value.find_first_of(" \"\n\r\t=") == std::string_view::npos;
  if (plain) {
    line.append(value);
    return;
  }
  line.push_back('"');
  for (const char character : value) {
    if (character == '"' || character == '\\') {
      line.push_back('\\');
    }
    line.push_back(static_cast<unsigned char>(character) < ' ' ? ' ' : character);
  }
  line.push_back('"');
}

}  // namespace

std::string FormatLogLine(LogLevel level,
                          std::string_view event,
                          std::initializer_list<LogField> fields) {
  std::string line = fmt::format("level={} event={}", NameOf(level), event);
  for (const auto& [key, value] : fields) {
    fmt::format_to(std::back_inserter(line), " {}=", key);
    AppendValue(line, value);
  }
  return line;
}

}  // namespace zinnia
