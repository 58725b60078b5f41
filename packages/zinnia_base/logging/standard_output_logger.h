#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "zinnia_base/logging/logger.h"
#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Bounds of StandardOutputLogger. */
struct OutputLoggerLimits {
  /** Lines of one event in a second; further ones are counted and dropped. At the load of a small
      instance, some ten requests a second with three lines each, this is never reached. */
  std::uint32_t most_lines_per_event_and_second = 300;

  /** What may wait for a reader that is slow or has stopped. */
  std::size_t most_waiting_bytes = 262'144;
};

/** Logs to standard output without ever waiting for whoever reads it.

    Lines gather in memory and go out by Flush, which writes only what the descriptor takes at once.
    A reader that stops reading fills the buffer; lines are then dropped and counted, and one line a
    second says how many. Safe from any thread.
*/
class StandardOutputLogger final : public Logger {
 public:
  /** Makes the descriptor non-blocking. `clock` must outlive it. */
  StandardOutputLogger(const Clock& clock,
                       std::string instance,
                       LogLevel least_level,
                       int descriptor,
                       OutputLoggerLimits limits = {});
  ~StandardOutputLogger() override;

  void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) override;

  /** Call it some ten times a second. */
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
  const LogLevel m_least_level;
  const int m_descriptor;
  const OutputLoggerLimits m_limits;
  mutable std::mutex m_mutex;
  std::string m_waiting;
  std::map<std::string, EventCount, std::less<>> m_counts;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_dropped_reported = 0;
  std::int64_t m_reported_second = 0;
};

}  // namespace zinnia
