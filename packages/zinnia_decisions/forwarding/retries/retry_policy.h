#pragma once

#include <cstdint>

namespace zinnia {

struct ForwardRoute;

/** How sending a request to one server ended without an answer that can be passed on.
    kNotSent: no byte left. kNotRun: the server vouches that it never ran it. kUnknown: it may have
    run. kServerFailed: it ran and the server answered with a failure. */
enum class SendOutcome { kNotSent, kNotRun, kUnknown, kServerFailed };

/** What to do next. kRefuse promises the caller that nothing ran; kFail promises nothing;
   kForwardFailure hands on the server's own failure. */
enum class NextStep { kSendAgain, kRefuse, kFail, kForwardFailure };

/** What is known of a request when one send has ended. */
struct SendHistory {
  /** Servers that the request reached, this one included unless it was kNotSent. */
  std::uint32_t servers_reached = 0;

  /** Sends that did not leave this instance. */
  std::uint32_t not_sent = 0;

  /** Some earlier send may have run. */
  bool may_have_run = false;

  bool time_left = true;

  /** Another server could take it. */
  bool has_alternative = true;
};

/** Decides whether a request may be sent again: never when that could run a non-idempotent request
    twice, never beyond the route's number of servers. The retry budget is the caller's to ask. */
NextStep DecideNextStep(const ForwardRoute& route, SendOutcome outcome, const SendHistory& history);

}  // namespace zinnia
