#pragma once

#include <chrono>
#include <optional>
#include <unordered_map>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/time/clock.h"

namespace zinnia {

/** When requests last ended well, for a bounded number of those that did so lately. */
class RecentRequests {
 public:
  /** An end counts for this long. */
  static constexpr Duration kLifetime = std::chrono::seconds(10);

  explicit RecentRequests(const Clock& clock) : m_clock(clock) {}

  /** Does nothing while too many are remembered, or if a later end is known. */
  void Add(const Fingerprint& request, TimePoint ended_at);

  /** Returns the last end of the request within kLifetime. */
  std::optional<TimePoint> LastEndOf(const Fingerprint& request) const;

 private:
  using Ends = std::unordered_map<Fingerprint, TimePoint>;

  const Clock& m_clock;

  /** Since when ends are added to m_current. It is set aside after kLifetime, and dropped when the
      next one is. */
  TimePoint m_began_at{};
  Ends m_current;
  Ends m_previous;
};

}  // namespace zinnia
