#include "zinnia_decisions/forwarding/streams/move_counts.h"

#include <fmt/format.h>

#include <utility>

namespace zinnia {

std::string_view NameOf(MoveEvent event) {
  switch (event) {
    case MoveEvent::kTried:
      return "tried";
    case MoveEvent::kRefused:
      return "refused";
    case MoveEvent::kRetried:
      return "retried";
    case MoveEvent::kLeft:
      return "left";
  }
  return "unknown";
}

void MoveCounts::Add(MoveEvent event, std::size_t urgency_class) {
  if (m_counts.size() <= urgency_class) {
    m_counts.resize(urgency_class + 1);
  }
  ++m_counts[urgency_class][static_cast<std::size_t>(event)];
  if (!m_first_at) {
    m_first_at = m_clock.Now();
  }
}

std::optional<std::string> MoveCounts::TakeLine() {
  if (!m_first_at || m_clock.Now() - *m_first_at < kLogInterval) {
    return std::nullopt;
  }
  std::string line;
  for (std::size_t position = 0; position < m_counts.size(); ++position) {
    line += fmt::format("{}{}:", line.empty() ? "" : "; ", position);
    for (std::size_t event = 0; event < kEvents; ++event) {
      line +=
          fmt::format(" {} {}", NameOf(static_cast<MoveEvent>(event)), m_counts[position][event]);
    }
  }
  m_first_at.reset();
  m_counts.clear();
  return line;
}

}  // namespace zinnia
