#pragma once

#include <cstddef>
#include <vector>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** The recent demand of each class of one service at this instance, and how much of it was served.

    Sums decay exponentially. Each attempt of a caller counts, so a caller that returns after a
    refusal counts again. A newly started instance has no demand.
*/
class ClassDemand {
 public:
  /** Bursts last for tens of seconds; a shorter memory would follow single arrivals of an instance
      that receives a few requests per second. */
  static constexpr Duration kMemory = std::chrono::seconds(10);

  explicit ClassDemand(const Clock& clock) : m_clock(clock), m_updated_at(clock.Now()) {}

  /** `work` is the expected work in tokens. */
  void OnArrival(std::size_t request_class, double work);
  void OnStarted(std::size_t request_class);

  /** Part of the recent work that is more urgent than the class, from 0 to 1. */
  double MoreUrgentPart(std::size_t request_class) const;

  /** Ratio of the class's served part of its requests to that of all requests; 1 without demand. */
  double ServedRatio(std::size_t request_class) const;

 private:
  struct Sums {
    double work = 0.0;
    double arrived = 0.0;
    double started = 0.0;
  };

  /** Decays all sums and returns those of the class. */
  Sums& Update(std::size_t request_class);

  const Clock& m_clock;
  TimePoint m_updated_at;
  std::vector<Sums> m_classes;
};

}  // namespace zinnia
