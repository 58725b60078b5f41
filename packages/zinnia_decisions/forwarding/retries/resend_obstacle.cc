#include "zinnia_decisions/forwarding/retries/resend_obstacle.h"

#include <array>

#include "zinnia_world/forwarding/forward_route.h"

namespace zinnia {

std::string_view NameOf(ResendObstacle obstacle) {
  static constexpr std::array<std::string_view, 7> kNames = {
      "none", "not_repeatable", "bounds", "time", "harmful", "budget", "no_server"};
  return kNames.at(static_cast<std::size_t>(obstacle));
}

ResendObstacle FindObstacle(const ForwardRoute& route,
                            SendOutcome outcome,
                            const SendHistory& history) {
  if (!IsSafeToRepeat(route, outcome, history)) {
    return ResendObstacle::kNotRepeatable;
  }
  if (!IsWithinBounds(route, history)) {
    return ResendObstacle::kBounds;
  }
  return history.time_left ? ResendObstacle::kNone : ResendObstacle::kTime;
}

}  // namespace zinnia
