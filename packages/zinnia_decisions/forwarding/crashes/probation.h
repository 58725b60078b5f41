#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/time/clock.h"

namespace zinnia {

/** The place of an instance in the list of those that live, by name. */
struct FleetPlace {
  std::size_t rank = 0;
  std::size_t instances = 1;
};

/** Bounds how many requests with a suspect are sent, so that the harm it may do is small before
    anything is proven.

    All instances together send about one request in each kTrialPeriod with each suspect. There is
   no coordinator: the instances take turns in the order of their names, by the time of day, and
   each sends one request a turn. Where clocks or beliefs differ, turns meet, but there are not more
   of them. A request with several suspects uses the turn of each.

    Not thread-safe.
*/
class Probation {
 public:
  static constexpr Duration kTrialPeriod = std::chrono::milliseconds(900);

  /** Unused turns end, so that not many are open at once in a large fleet. */
  static constexpr Duration kTurnLifetime = kTrialPeriod;

  /** From the beginning of a turn. */
  static constexpr Duration kTimeOfSingleSuspects = kTrialPeriod / 2;

  explicit Probation(const Clock& clock) : m_clock(clock) {}

  void SetPlace(FleetPlace place);

  /** Call for each suspect before its request is sent; its turns begin with the next one. */
  void Watch(const Fingerprint& suspect);

  /** Those for which it returns true are suspected no more. */
  template <typename Predicate>
  void ForgetIf(Predicate predicate) {
    std::erase_if(m_last_turns, [&](const auto& suspect) { return predicate(suspect.first); });
  }

  /** Whether a request with the suspect may be sent now. One with several suspects tells less of
      each, so that it comes second in each turn. */
  bool HasTurn(const Fingerprint& suspect, bool is_alone);

  /** How long this instance's turn has been open. */
  Duration TurnAge();

  /** A request with the suspect is sent. */
  void TakeTurn(const Fingerprint& suspect);

  std::size_t Count() const { return m_last_turns.size(); }

 private:
  void Advance();
  Duration Interval() const;

  const Clock& m_clock;
  FleetPlace m_place;
  std::uint64_t m_turn = 0;
  TimePoint m_next_turn_at{};

  /** The turn that was used last for each suspect. */
  std::unordered_map<Fingerprint, std::uint64_t> m_last_turns;
};

}  // namespace zinnia
