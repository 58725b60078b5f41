#include "zinnia_decisions/forwarding/retries/retry_policy.h"

#include "zinnia_world/forwarding/forward_route.h"

namespace zinnia {
namespace {

/** Unsent attempts cost servers nothing, but each waits for a connection. */
constexpr std::uint32_t kMaxNotSent = 3;

NextStep GiveUp(SendOutcome outcome, const SendHistory& history) {
  if (outcome == SendOutcome::kServerFailed) {
    return NextStep::kForwardFailure;
  }
  const bool may_have_run = history.may_have_run || outcome == SendOutcome::kUnknown;
  return may_have_run ? NextStep::kFail : NextStep::kRefuse;
}

}  // namespace

bool IsSafeToRepeat(const ForwardRoute& route, SendOutcome outcome, const SendHistory& history) {
  const bool certainly_not_run =
      outcome == SendOutcome::kNotSent || outcome == SendOutcome::kNotRun;
  const bool may_repeat = route.MayRepeat() && history.can_resume;
  return may_repeat || (certainly_not_run && !history.may_have_run);
}

bool IsWithinBounds(const ForwardRoute& route, const SendHistory& history) {
  return history.servers_reached < route.most_servers && history.not_sent <= kMaxNotSent;
}

NextStep DecideNextStep(const ForwardRoute& route,
                        SendOutcome outcome,
                        const SendHistory& history) {
  if (IsSafeToRepeat(route, outcome, history) && IsWithinBounds(route, history) &&
      history.time_left && history.has_alternative) {
    return NextStep::kSendAgain;
  }
  return GiveUp(outcome, history);
}

}  // namespace zinnia
