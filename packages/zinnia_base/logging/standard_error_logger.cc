#include "zinnia_base/logging/standard_error_logger.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <cstdio>
#include <utility>

#include "zinnia_base/time/clock.h"

namespace zinnia {

StandardErrorLogger::StandardErrorLogger(const Clock& clock,
                                         std::string instance,
                                         LogLevel least_level)
    : m_clock(clock), m_instance(std::move(instance)), m_min_level(least_level) {}

void StandardErrorLogger::Log(LogLevel level,
                              std::string_view event,
                              std::initializer_list<LogField> fields) {
  if (level < m_min_level) {
    return;
  }
  const auto since_epoch =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.WallNow().time_since_epoch());
  fmt::print(stderr, "time={}.{:03} instance={} {}\n", since_epoch.count() / 1000,
             since_epoch.count() % 1000, m_instance, FormatLogLine(level, event, fields));
}

}  // namespace zinnia
