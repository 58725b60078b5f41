#pragma once

#include <cstddef>

namespace zinnia {

class ClassDemand;

/** How the requests of a pool are spread over its first servers. */
struct PoolUse {
  /** Requests of all instances at the first server that holds the most. */
  double largest_requests = 0.0;

  /** Requests that the other first servers accept, including those they hold. */
  double other_room = 0.0;
};

/** Decides which share of the pool the requests of a class may fill.

    The most urgent class may use everything. A less urgent one leaves free the part of the headroom
    that corresponds to the part of the recent demand which is more urgent, so it yields gradually
    as urgent demand grows, and leaves nothing free if there is none. The headroom is the room that
    the requests of the first server with the most requests need elsewhere if it is lost, plus
    kUrgentGrowth, at most kMaxHeadroom.
*/
class ClassHeadroom {
 public:
  /** A pool of two first servers cannot keep room for half of its requests. At 0.4, the least
      urgent class may still fill 0.6 of the pool. */
  static constexpr double kMaxHeadroom = 0.4;

  /** Room for growth of the urgent demand before a running request ends, added to the room for a
      lost server. */
  static constexpr double kUrgentGrowth = 0.25;

  /** A class that is served less often than this, relative to all requests, may use everything and
      precedes other classes. The ratio counts attempts, and urgent callers return more often, so it
      is below the ratio by callers. */
  static constexpr double kMinServedRatio = 0.35;

  explicit ClassHeadroom(const ClassDemand& demand) : m_demand(demand) {}

  void SetPool(const PoolUse& use);
  double Headroom() const { return m_headroom; }

  /** From 1 - kMaxHeadroom to 1. */
  double ShareOf(std::size_t request_class) const;

  /** Whether the class has been served so rarely that it goes first. */
  bool IsUnderserved(std::size_t request_class) const;

 private:
  const ClassDemand& m_demand;
  double m_headroom = kUrgentGrowth;
};

}  // namespace zinnia
