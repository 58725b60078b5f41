#pragma once

#include <string>

#include "zinnia_base/logging/logger.h"

namespace zinnia {

class Clock;

/** Logs to standard error, prefixing each line with the wall-clock time and the instance name. */
class StandardErrorLogger final : public Logger {
 public:
  StandardErrorLogger(const Clock& clock, std::string instance, LogLevel least_level);
  void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) override;

 private:
  const Clock& m_clock;
  const std::string m_instance;
  const LogLevel m_min_level;
};

}  // namespace zinnia
