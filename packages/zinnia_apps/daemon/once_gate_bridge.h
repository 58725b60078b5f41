#pragma once

#include <functional>

#include "zinnia_decisions/once/once_gate.h"

namespace zinnia {

/** Carries calls of the at-most-once gate from a traffic thread to the control thread and the
   answers back. Make one for each traffic thread.

    The gate is looked up on the control thread at each call: while there is none (starting,
    stopping) every request is refused as not run.
*/
class OnceGateBridge final : public OnceGate {
 public:
  using Post = std::function<void(std::function<void()>)>;

  /** `gate` is called on the control thread only. */
  OnceGateBridge(Post to_control, Post to_traffic, std::function<OnceGate*()> gate);

  void Begin(IntentRequest request, std::function<void(Result<IntentReply>)> callback) override;
  void Report(IntentOutcome outcome, std::function<void(Result<void>)> callback) override;

 private:
  const Post m_to_control;
  const Post m_to_traffic;
  const std::function<OnceGate*()> m_gate;
};

}  // namespace zinnia
