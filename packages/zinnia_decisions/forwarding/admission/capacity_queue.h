#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** A request for which no server had capacity. */
struct WaitingRequest {
  std::uint32_t priority = 0;  // 0 is the most urgent.
  TimePoint arrived_at{};

  /** Latest start at which the request can still meet its latency objective. */
  TimePoint start_deadline{};
};

/** Orders the requests that wait for capacity at this instance.

    Within a priority, requests that can still start on time come first, by deadline. Late requests
    follow in order of arrival, so that newer ones do not starve them. Requests are refused if the
    queue is full or after waiting for `kMaxWait`.

    Not thread-safe; belongs to one traffic thread. The caller checks whether capacity is available.
*/
class CapacityQueue {
 public:
  /** A request that waits longer usually starts too late for its latency objective. */
  static constexpr Duration kMaxWait = std::chrono::milliseconds(300);

  /** As many requests as some instances of a small fleet receive together in a second. */
  static constexpr std::size_t kMaxWaiting = 96;

  explicit CapacityQueue(const Clock& clock) : m_clock(clock) {}

  /** Returns a ticket to be passed to Leave, or kNoTicket if the queue is full. */
  std::uint64_t Enter(const WaitingRequest& request);

  static constexpr std::uint64_t kNoTicket = 0;

  void Leave(std::uint64_t ticket) { m_waiting.erase(ticket); }

  /** Tickets in the order in which the requests should be tried now. */
  std::vector<std::uint64_t> OrderedTickets() const;

  bool IsOverdue(std::uint64_t ticket) const;

  /** Records that a request was refused for lack of capacity. Returns when the caller should retry;
      the delay grows with the length of the shortage. */
  Duration OnRefused();

 private:
  const Clock& m_clock;
  std::map<std::uint64_t, WaitingRequest> m_waiting;
  std::uint64_t m_last_ticket = kNoTicket;
  std::optional<TimePoint> m_shortage_since;
  TimePoint m_last_refused_at{};
};

}  // namespace zinnia
