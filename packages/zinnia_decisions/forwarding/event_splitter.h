#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinnia {

/** Cuts a stream of server-sent events into whole events.

    A server that breaks off in the middle of an event must not leave half of it with the caller:
    the resumed stream would be glued to it, and the caller would take two halves for one event.
*/
class EventSplitter {
 public:
  /** Takes bytes as they arrive and returns the whole events that they complete, in one piece. */
  std::string Take(std::string_view bytes);

  /** Forgets a part of an event, when another server goes on. */
  void DropPartialEvent() { m_partial_event.clear(); }

  bool HasPartialEvent() const { return !m_partial_event.empty(); }

  /** The id of the last whole event that had one. */
  std::optional<std::uint64_t> LastEventId() const { return m_last_event_id; }

 private:
  void UpdateLastEventId(std::string_view events);

  std::string m_partial_event;
  std::optional<std::uint64_t> m_last_event_id;
};

}  // namespace zinnia
