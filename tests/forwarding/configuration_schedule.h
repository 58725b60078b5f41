#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <utility>
#include <vector>

#include "tests/forwarding/control_fleet.h"
#include "zinnia_base/random/random_source.h"

namespace zinnia {

/** Changes of the configuration beside faults of instances, links and the store, in virtual time.
    Counts how often an instance that is bound acts by an older version. */
class ConfigurationSchedule {
 public:
  explicit ConfigurationSchedule(std::uint64_t seed);

  void Run();

  /** At how many moments some bound instance had an older version. */
  int Older() const { return m_older; }

 private:
  static constexpr int kInstances = 9;
  static constexpr int kDomains = 3;

  using milliseconds = std::chrono::milliseconds;

  milliseconds Between(int least, int most);
  bool OneIn(std::uint64_t count) { return RandomBelow(m_random, count) == 0; }
  std::size_t AnyInstance() { return RandomBelow(m_random, kInstances); }
  void Change();
  void Disturb();
  void Restart(std::size_t number);
  void RestartStoreWatchers();

  /** From all other instances, and from the store, too, if `whole`. */
  void CutOff(std::size_t number, Duration span, bool whole);
  void TurnAway(std::size_t number, Duration span);
  void Later(Duration after, std::function<void()> lift);
  void RunDue();
  void ExcuseUnreached();
  void Judge();

  RandomSource m_random;
  ControlFleet m_fleet;
  std::uint64_t m_version = 1;
  std::vector<std::pair<TimePoint, std::uint64_t>> m_acknowledged;
  std::vector<TimePoint> m_disturbed_at;
  std::vector<int> m_cuts;
  std::vector<int> m_refusals;
  std::list<std::pair<TimePoint, std::function<void()>>> m_later;
  TimePoint m_next_change{};
  TimePoint m_next_fault{};
  int m_older = 0;
};

}  // namespace zinnia
