#pragma once

#include <cstdint>

namespace zinnia {

struct ForwardRoute;

/** Outcome of an attempt that yielded no answer for the caller. kNotSent: no byte was sent.
    kNotRun: the server confirmed that it did not run the request. kUnknown: the request may have
    run. kServerFailed: it ran, and the server returned an error. */
enum class SendOutcome { kNotSent, kNotRun, kUnknown, kServerFailed };

/** Next step after a failed attempt. kRefuse guarantees the caller that nothing ran, kFail
    guarantees nothing, and kForwardFailure returns the server's own error. */
enum class NextStep { kSendAgain, kRefuse, kFail, kForwardFailure };

/** State of a request after an attempt has ended. */
struct SendHistory {
  /** Servers that the request reached, including the latest one unless the outcome was kNotSent. */
  std::uint32_t servers_reached = 0;

  /** Attempts that ended with kNotSent. */
  std::uint32_t not_sent = 0;

  /** Whether an earlier attempt may have run. */
  bool may_have_run = false;

  /** Whether another server can go on after what the caller has of a stream: not after an event
     that has no id. */
  bool can_resume = true;

  bool time_left = true;

  /** Whether another server could take the request. */
  bool has_alternative = true;
};

/** Whether the request would not run twice, or may. */
bool IsSafeToRepeat(const ForwardRoute& route, SendOutcome outcome, const SendHistory& history);

/** Whether the request may reach one more server. */
bool IsWithinBounds(const ForwardRoute& route, const SendHistory& history);

/** Decides whether to retry a request. Never runs a non-idempotent request twice or exceeds the
    route's number of servers. The caller must check the retry budget. */
NextStep DecideNextStep(const ForwardRoute& route, SendOutcome outcome, const SendHistory& history);

}  // namespace zinnia
