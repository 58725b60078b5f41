#include "zinnia_adapters/log_summary/log_line.h"

#include <charconv>

namespace zinnia {
namespace {

constexpr std::string_view kBegin = "time=";

std::optional<double> ReadNumber(const std::string& text) {
  double number = 0.0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  return error == std::errc{} && rest == end ? std::optional(number) : std::nullopt;
}

/** Takes a value off the front of `text`: up to a space, or between quotes with escapes. */
std::string TakeValue(std::string_view& text) {
  std::string value;
  if (!text.starts_with('"')) {
    const std::size_t end = std::min(text.find(' '), text.size());
    value = text.substr(0, end);
    text.remove_prefix(end);
    return value;
  }
  std::size_t at = 1;
  for (; at < text.size() && text[at] != '"'; ++at) {
    if (text[at] == '\\' && at + 1 < text.size()) {
      ++at;
    }
    value += text[at];
  }
  text.remove_prefix(std::min(at + 1, text.size()));
  return value;
}

}  // namespace

std::optional<LogLine> LogLine::Parse(std::string_view text) {
  const std::size_t begin = text.find(kBegin);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  text.remove_prefix(begin);
  LogLine line;
  while (!text.empty()) {
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    std::string name(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    line.m_fields[std::move(name)] = TakeValue(text);
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  }
  const auto time = ReadNumber(line.Field("time"));
  line.m_event = line.Field("event");
  if (!time || line.m_event.empty()) {
    return std::nullopt;
  }
  line.m_time = *time;
  return line;
}

std::string LogLine::Field(const std::string& name) const {
  const auto found = m_fields.find(name);
  return found == m_fields.end() ? std::string() : found->second;
}

double LogLine::Number(const std::string& name) const {
  return ReadNumber(Field(name)).value_or(0.0);
}

}  // namespace zinnia
