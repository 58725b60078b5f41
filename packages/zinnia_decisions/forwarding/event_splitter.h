#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinnia {

/** Splits a stream of server-sent events into complete events.

    If a server fails in the middle of an event, the caller must not receive the partial event. A
    stream resumed by another server would be appended to it.
*/
class EventSplitter {
 public:
  /** Appends received bytes and returns all events completed by them, concatenated. Bytes of an
      earlier call are not searched again. */
  std::string Take(std::string_view bytes);

  /** Discards a partial event before another server resumes the stream. */
  void DropPartialEvent() { m_partial_event.clear(); }

  bool HasPartialEvent() const { return !m_partial_event.empty(); }

  std::size_t PartialEventBytes() const { return m_partial_event.size(); }

  /** The id of the last complete event that had one. */
  std::optional<std::uint64_t> LastEventId() const { return m_last_event_id; }

 private:
  void UpdateLastEventId(std::string_view events);

  std::string m_partial_event;
  std::optional<std::uint64_t> m_last_event_id;
};

}  // namespace zinnia
