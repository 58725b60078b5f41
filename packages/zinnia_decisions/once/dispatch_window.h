#pragma once

#include <chrono>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

/** Whether a granted request may still be dispatched.

    Construct it on the traffic thread before OnceGate::Begin is called, and ask MayDispatch as the
    last thing before the first byte is sent. If it says no, report the grant as unused instead.
    Counting from before Begin, on this instance's own steady clock, makes the window end no later
    than the holder can assume, whatever the delays between them.

    It bounds how long after its caller gave up a request may still run, and keeps a request from
    being dispatched when its key is about to be forgotten. At most once does not rest on it while
    the key is remembered: nobody else is granted the key however late this one is dispatched.
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
