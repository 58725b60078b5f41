#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Which servers have said that they take only so many requests a second. */
class ServerLimits {
 public:
  explicit ServerLimits(const Clock& clock) : m_clock(clock) {}

  /** A server's answer to a request that was sent at `sent_at` names a limit, in requests a second
      from all instances together, or none. Returns whether that changes what is believed. */
  bool OnAnswer(const BackendServerName& server,
                std::optional<double> requests_per_second,
                TimePoint sent_at);

  /** How many servers have a limit now. */
  std::size_t CountInForce() const;

 private:
  struct Belief {
    std::optional<double> requests_per_second;
    TimePoint known_at{};
  };

  const Clock& m_clock;
  std::map<BackendServerName, Belief> m_beliefs;
};

}  // namespace zinnia
