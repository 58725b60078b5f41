#pragma once

#include <unordered_map>
#include <vector>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/crashes/broken_attempts.h"

namespace zinnia {

/** Attempts whose connection this instance closed before they were answered, as their caller left.

    Nobody sees whether their server ends afterwards. Most callers that leave do not come back, and
    asking each server would cost a connection each time; a request that is let go of again shortly
    after is worth asking for.

    Not thread-safe. */
class ReleasedAttempts {
 public:
  explicit ReleasedAttempts(const Clock& clock) : m_clock(clock) {}

  /** Records an attempt. Returns those whose servers should be probed now: none, or this one and
      the earlier ones of the request that were not returned yet. */
  std::vector<BrokenAttempt> Add(const BrokenAttempt& attempt);

 private:
  struct Request {
    TimePoint released_at{};
    std::vector<BrokenAttempt> unprobed;
  };

  void ForgetOld();

  const Clock& m_clock;
  std::unordered_map<Fingerprint, Request> m_requests;
};

}  // namespace zinnia
