#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Recognises callers who return to this instance after a refusal.

    Each attempt has its own identifier, so a returning caller is recognised by the request's
    fingerprint, which covers path, caller and body. A refusal is remembered until the caller has
    returned, or for some time after the Retry-After that it was given. Memory is bounded: the
   oldest refusals are forgotten first. A caller who returns to another instance counts as new
   there.
*/
class RefusedRequests {
 public:
  /** Some seconds of refusals of a large instance; about 200 KB. */
  static constexpr std::size_t kMaxRemembered = 2'048;

  /** How much later than told a caller may return. */
  static constexpr Duration kMaxDelay = std::chrono::seconds(2);

  explicit RefusedRequests(const Clock& clock) : m_clock(clock) {}

  void OnRefused(const Fingerprint& request, Duration retry_after);

  /** Returns whether the request was refused before. Each refusal is recognised once. */
  bool TakeReturn(const Fingerprint& request);

  std::size_t Count() const { return m_refusals.size(); }

 private:
  void Forget();

  const Clock& m_clock;
  std::unordered_multimap<Fingerprint, TimePoint> m_refusals;

  /** In the order of refusal; includes some that have returned. */
  std::deque<std::pair<TimePoint, Fingerprint>> m_expiries;
};

}  // namespace zinnia
