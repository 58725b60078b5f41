#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** A request that found no server with room. */
struct WaitingRequest {
  std::uint32_t priority = 0;  // 0 is the most urgent.
  TimePoint arrived_at{};

  /** Beginning by then, it is still on time. */
  TimePoint start_deadline{};
};

/** Who waits for room at this instance, in which order they get it, and how long.

    Room comes back with each answer that ends, and callers come back only once.

    Of one priority, who can still be on time goes first, the least time left first. Who cannot is
    late anyway and takes what they leave, in the order of arrival, so that nobody is set behind new
    ones for ever. Who has waited for `kLongestWait`, or would make the queue too long, is refused.

    Belongs to one traffic thread. A pure decision: callers try whether there is room.
*/
class CapacityQueue {
 public:
  /** Longer, and a first event is late when it begins. */
  static constexpr Duration kMaxWait = std::chrono::milliseconds(300);

  /** As many as some instances of a small fleet begin together in a second. */
  static constexpr std::size_t kMaxWaiting = 96;

  explicit CapacityQueue(const Clock& clock) : m_clock(clock) {}

  /** Nothing if the queue is full. Give the ticket back with Leave. */
  std::uint64_t Enter(const WaitingRequest& request);

  /** Tickets are never 0. */
  static constexpr std::uint64_t kNoTicket = 0;

  void Leave(std::uint64_t ticket) { m_waiting.erase(ticket); }

  /** The order in which to try now. */
  std::vector<std::uint64_t> OrderedTickets() const;

  bool IsOverdue(std::uint64_t ticket) const;

  /** Somebody is refused for want of room. Returns when he should come back: a want of room that
     has lasted for some time mostly lasts as long again. The loads that mend a loss take
      up to three seconds. */
  Duration OnRefused();

 private:
  const Clock& m_clock;
  std::map<std::uint64_t, WaitingRequest> m_waiting;
  std::uint64_t m_last_ticket = kNoTicket;
  std::optional<TimePoint> m_shortage_since;
  TimePoint m_last_refused_at{};
};

}  // namespace zinnia
