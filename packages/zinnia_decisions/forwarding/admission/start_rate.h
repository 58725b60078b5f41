#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** The rate at which requests of each class were able to start during recent shortages.

    Outside of a shortage the rate of starts is that of arrivals, which says nothing about the wait
    for capacity, so such times are not counted.
*/
class StartRate {
 public:
  explicit StartRate(const Clock& clock) : m_clock(clock), m_updated_at(clock.Now()) {}

  /** A request found no capacity. */
  void OnNoRoom();
  void OnStarted(std::size_t request_class);

  /** Starts per second available to the class: its own and those of less urgent classes, which
      yield to it. nullopt if too little was observed. */
  std::optional<double> PerSecond(std::size_t request_class) const;

 private:
  /** Observed shortages in seconds, decayed, and the factor by which the sums of starts decay until
      the same time. */
  struct Decayed {
    double kept = 1.0;
    double shortage_seconds = 0.0;
  };
  Decayed DecayUntil(TimePoint now) const;
  void Update();

  const Clock& m_clock;
  TimePoint m_updated_at;
  TimePoint m_shortage_until{};
  double m_shortage_seconds = 0.0;
  std::vector<double> m_starts;
};

}  // namespace zinnia
