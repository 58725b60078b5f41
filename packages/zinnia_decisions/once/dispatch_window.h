#pragma once

#include <chrono>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

/** Determines whether a granted request may still be dispatched.

    Construct it on the traffic thread before calling OnceGate::Begin, and call MayDispatch
    immediately before sending the first byte. If it returns false, report the grant as unused. The
    window starts before Begin, on this instance's steady clock, so that network delays cannot
    extend it.

    This bounds how late a request can run after its caller has timed out, and prevents a dispatch
    after the key's retention has expired. Within the retention, at-most-once execution does not
    depend on it.
*/
class DispatchWindow {
 public:
  explicit DispatchWindow(const Clock& clock) : m_clock(clock), m_begun(clock.Now()) {}

  bool MayDispatch(const IntentReply& reply) const {
    return reply.verdict == IntentVerdict::kGranted &&
           m_clock.Now() - m_begun < std::chrono::milliseconds(reply.valid_for_ms);
  }

 private:
  const Clock& m_clock;
  const TimePoint m_begun;
};

}  // namespace zinnia
