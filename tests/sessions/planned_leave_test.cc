#include <chrono>
#include <memory>

#include <CppUTest/TestHarness.h>

#include "tests/sessions/session_world.h"

namespace zinnia {

using std::chrono::milliseconds;

TEST_GROUP(PlannedLeave) {
  SessionWorld world;
  std::shared_ptr<FakeCaller> caller = std::make_shared<FakeCaller>();
  std::shared_ptr<SessionDriver> driver;
  std::size_t longest_input = 0;

  void LeaveMidAnswer(const BackendServerName& server) {
    driver = world.Start(caller);
    world.time.AdvanceBy(milliseconds(90));
    world.stages.on_send = [this](const auto&, const StepRequest& step) {
      if (const auto* hidden = std::get_if<HiddenInput>(&step.input)) {
        longest_input = std::max(longest_input, hidden->states.size());
      }
    };
    world.SetState(server, BackendServerState::kLeaving);
    driver->LeaveDrainingServers();
  }

  void CheckComplete() {
    world.RunToCompletion();
    CHECK_EQUAL(1, caller->final_events);
    STRCMP_EQUAL(SessionWorld::ExpectedText().c_str(), caller->text.c_str());
    const std::string violation = world.stages.Ledger().FindViolation(
        "s-1", driver->Status().attempt, SessionWorld::kLayers, SessionWorld::kPromptTokens + 11);
    STRCMP_EQUAL("", violation.c_str());
    CHECK_EQUAL(0U, driver->Status().recoveries);
  }
};

TEST(PlannedLeave, TransfersTheCacheWithoutReplay) {
  // Guards against a replay when the leaving server can still export its cache.
  LeaveMidAnswer("b1");
  CheckComplete();
  STRCMP_EQUAL("b2", driver->Status().route.hops[1].server.c_str());
  CHECK_EQUAL(1U, longest_input);
  CHECK_EQUAL(0U, world.stages.At("b1").HeldCaches());
}

TEST(PlannedLeave, InterruptedTransferFallsBackToReplay) {
  // Guards against failing the session when a transfer is interrupted.
  world.stages.InterruptNextTransfer();
  LeaveMidAnswer("b1");
  CheckComplete();
  STRCMP_EQUAL("b2", driver->Status().route.hops[1].server.c_str());
  CHECK_TRUE(longest_input > 1);
}

TEST(PlannedLeave, SessionStaysIfNothingElseHoldsTheLayers) {
  world.SetState("b2", BackendServerState::kGone);
  LeaveMidAnswer("b1");
  CheckComplete();
  STRCMP_EQUAL("b1", driver->Status().route.hops[1].server.c_str());
  CHECK_TRUE(world.recorder.Has("stay_on_leaving_servers"));
}

TEST(PlannedLeave, CacheIsTransferredFromAStageThatRefusesAsLeaving) {
  // Guards against a replay when the stage refuses a step before the instance learns that it
  // leaves.
  driver = world.Start(caller);
  world.time.AdvanceBy(milliseconds(90));
  world.stages.At("b1").refuses_as_leaving = true;
  world.RunToCompletion();
  STRCMP_EQUAL(SessionWorld::ExpectedText().c_str(), caller->text.c_str());
  CHECK_TRUE(world.recorder.Has("move_cache"));
}

}  // namespace zinnia
