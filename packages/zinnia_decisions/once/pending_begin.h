#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/once/once_coordinator.h"

namespace zinnia {

/** The state of a call of Begin whose callback has not run yet. */
struct OnceCoordinator::PendingBegin {
  IntentRequest request;
  TimePoint begun_at{};
  std::string caller_request_id;
  std::function<void(Result<IntentReply>)> callback;
  std::uint32_t round = 0;
  std::uint32_t peer_calls = 0;
  bool needs_refresh = false;
  bool in_flight = false;
  std::optional<Instance> called_peer;
  bool checked_for_new_holder = false;
  TimePoint sent_at{};
  bool may_be_recorded = false;
  std::unique_ptr<ScheduledCall> deadline;
  std::unique_ptr<ScheduledCall> timer;
};

}  // namespace zinnia
