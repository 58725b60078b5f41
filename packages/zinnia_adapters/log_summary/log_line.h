#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace zinnia {

/** One line of a log of zinniad, taken apart. */
class LogLine {
 public:
  /** Nothing for text without a time and an event. What stands before `time=` is ignored, so that
      lines that a collector has put a prefix on read as well. */
  static std::optional<LogLine> Parse(std::string_view text);

  const std::string& Event() const { return m_event; }

  /** Unix seconds. */
  double Time() const { return m_time; }

  /** Empty if the line does not have it. */
  std::string Field(const std::string& name) const;

  /** 0 if it is missing or not a number. */
  double Number(const std::string& name) const;

 private:
  double m_time = 0.0;
  std::string m_event;
  std::map<std::string, std::string> m_fields;
};

}  // namespace zinnia
