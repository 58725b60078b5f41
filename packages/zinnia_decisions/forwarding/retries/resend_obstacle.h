#pragma once

#include <string_view>

#include "zinnia_decisions/forwarding/retries/retry_policy.h"

namespace zinnia {

/** Why a request is not sent to another server, as logged. kNotRepeatable: it may have run, and
    must not run twice. kBounds: it has been sent as often as allowed. kTime: its time is over.
    kHarmful: it may crash servers. kBudget: no retries are left. kNoServer: no other server can
    take it. */
enum class ResendObstacle { kNone, kNotRepeatable, kBounds, kTime, kHarmful, kBudget, kNoServer };

std::string_view NameOf(ResendObstacle obstacle);

/** What in the route or the history forbids to send the request again, if anything. */
ResendObstacle FindObstacle(const ForwardRoute& route,
                            SendOutcome outcome,
                            const SendHistory& history);

}  // namespace zinnia
