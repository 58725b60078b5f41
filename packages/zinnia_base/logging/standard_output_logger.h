#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "zinnia_base/logging/logger.h"
#include "zinnia_base/time/clock.h"

namespace zinnia {

struct OutputLoggerLimits {
  /** Further lines of the same event within the second are counted and dropped. */
  std::uint32_t max_lines_per_event_per_second = 300;

  /** Size of the buffer for lines that the descriptor has not accepted yet. */
  std::size_t max_buffered_bytes = 262'144;
};

/** Logs to standard output without blocking. Thread-safe.

    Lines are buffered in memory; Flush writes as much as the descriptor accepts. When the buffer is
    full, lines are dropped and counted, and the count is logged at most once per second.
*/
class StandardOutputLogger final : public Logger {
 public:
  /** Sets the descriptor to non-blocking mode. `clock` must outlive the logger. */
  StandardOutputLogger(const Clock& clock,
                       std::string instance,
                       LogLevel least_level,
                       int descriptor,
                       OutputLoggerLimits limits = {});
  ~StandardOutputLogger() override;

  void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) override;

  /** Writes buffered lines. Call it about ten times per second. */
  void Flush();

  std::uint64_t DroppedLines() const;

 private:
  struct EventCount {
    std::int64_t second = 0;
    std::uint32_t lines = 0;
  };

  bool IsWithinRate(std::string_view event);
  void ReportDropped();
  void Append(std::string_view text);
  void WriteOut();

  const Clock& m_clock;
  const std::string m_instance;
  const LogLevel m_min_level;
  const int m_descriptor;
  const OutputLoggerLimits m_limits;
  mutable std::mutex m_mutex;
  std::string m_buffer;
  std::map<std::string, EventCount, std::less<>> m_counts;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_dropped_reported = 0;
  std::int64_t m_reported_second = 0;
};

}  // namespace zinnia
