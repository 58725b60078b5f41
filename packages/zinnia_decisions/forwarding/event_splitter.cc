#include "zinnia_decisions/forwarding/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace zinnia {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kEventEndCrLf = "\r\n\r\n";
constexpr std::string_view kIdField = "id:";

/** Returns the position after the last complete event, or 0 if there is none. No event ends within
    the first `searched` bytes, but a delimiter may begin there. */
std::size_t EndOfLastEvent(std::string_view bytes, std::size_t searched) {
  std::size_t end = 0;
  for (const std::string_view delimiter : {kEventEnd, kEventEndCrLf}) {
    const std::size_t first = searched - std::min(searched, delimiter.size() - 1);
    const std::size_t found = bytes.substr(first).rfind(delimiter);
    if (found != std::string_view::npos) {
      end = std::max(end, first + found + delimiter.size());
    }
  }
  return end;
}

}  // namespace

std::string EventSplitter::Take(std::string_view bytes) {
  const std::size_t searched = m_partial_event.size();
  m_partial_event.append(bytes);
  const std::size_t end = EndOfLastEvent(m_partial_event, searched);
  std::string events = m_partial_event.substr(0, end);
  m_partial_event.erase(0, end);
  UpdateLastEventId(events);
  return events;
}

void EventSplitter::UpdateLastEventId(std::string_view events) {
  std::size_t line = 0;
  while (line < events.size()) {
    const std::size_t line_end = std::min(events.find('\n', line), events.size());
    std::string_view text = events.substr(line, line_end - line);
    line = line_end + 1;
    if (!text.starts_with(kIdField)) {
      continue;
    }
    text.remove_prefix(kIdField.size());
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    std::uint64_t id = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), id).ec == std::errc{}) {
      m_last_event_id = id;
    }
  }
}

}  // namespace zinnia
