#include "zinnia_base/logging/standard_output_logger.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <utility>

namespace zinnia {
namespace {

/** Buffer size from which Log writes immediately, which limits the number of system calls. */
constexpr std::size_t kFlushBytes = 4'096;

/** Maximum number of event names with a rate counter of their own; further names share one. */
constexpr std::size_t kMaxCountedEvents = 256;
constexpr std::string_view kOtherEvents = "other";

std::int64_t SecondOf(TimePoint time) {
  return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

}  // namespace

StandardOutputLogger::StandardOutputLogger(const Clock& clock,
                                           std::string instance,
                                           LogLevel least_level,
                                           int descriptor,
                                           OutputLoggerLimits limits)
    : m_clock(clock),
      m_instance(std::move(instance)),
      m_min_level(least_level),
      m_descriptor(descriptor),
      m_limits(limits) {
  const int flags = fcntl(m_descriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

StandardOutputLogger::~StandardOutputLogger() {
  Flush();
}

void StandardOutputLogger::Log(LogLevel level,
                               std::string_view event,
                               std::initializer_list<LogField> fields) {
  if (level < m_min_level) {
    return;
  }
  const auto since_epoch =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.WallNow().time_since_epoch());
  const std::string line =
      fmt::format("time={}.{:03} instance={} {}\n", since_epoch.count() / 1000,
                  since_epoch.count() % 1000, m_instance, FormatLogLine(level, event, fields));
  const std::lock_guard lock(m_mutex);
  if (!IsWithinRate(event)) {
    ++m_dropped;
    return;
  }
  Append(line);
  if (m_buffer.size() >= kFlushBytes) {
    WriteOut();
  }
}

bool StandardOutputLogger::IsWithinRate(std::string_view event) {
  if (!m_counts.contains(event) && m_counts.size() >= kMaxCountedEvents) {
    event = kOtherEvents;
  }
  const std::int64_t second = SecondOf(m_clock.Now());
  EventCount& count = m_counts[std::string(event)];
  if (count.second != second) {
    count = {second, 0};
  }
  return ++count.lines <= m_limits.max_lines_per_event_per_second;
}

void StandardOutputLogger::Append(std::string_view text) {
  if (m_buffer.size() + text.size() > m_limits.max_buffered_bytes) {
    ++m_dropped;
    return;
  }
  m_buffer.append(text);
}

void StandardOutputLogger::ReportDropped() {
  const std::int64_t second = SecondOf(m_clock.Now());
  if (m_dropped == m_dropped_reported || second == m_reported_second) {
    return;
  }
  m_reported_second = second;
  const std::uint64_t count = m_dropped - std::exchange(m_dropped_reported, m_dropped);
  Append(
      fmt::format("instance={} level=warning event=lines_dropped count={}\n", m_instance, count));
}

void StandardOutputLogger::Flush() {
  const std::lock_guard lock(m_mutex);
  WriteOut();  // Makes space in the buffer for the line that reports dropped lines.
  ReportDropped();
  WriteOut();
}

/** Discards the buffer on errors other than EAGAIN, EWOULDBLOCK and EINTR, since the descriptor is
    then unusable. */
void StandardOutputLogger::WriteOut() {
  while (!m_buffer.empty()) {
    const auto written = write(m_descriptor, m_buffer.data(), m_buffer.size());
    if (written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
      return;
    }
    if (written < 0) {
      ++m_dropped;
      m_buffer.clear();
      return;
    }
    m_buffer.erase(0, static_cast<std::size_t>(written));
  }
}

std::uint64_t StandardOutputLogger::DroppedLines() const {
  const std::lock_guard lock(m_mutex);
  return m_dropped;
}

}  // namespace zinnia
