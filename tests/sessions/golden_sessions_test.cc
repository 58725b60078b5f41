#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

#include "tests/sessions/session_log.h"

namespace zinnia {

using std::chrono::milliseconds;

TEST_GROUP(GoldenSessions) {
  static constexpr std::uint32_t kTokens = 5;
  static constexpr milliseconds kMidAnswer{60};

  SessionWorld world;
  SessionLog log{world};
  ChatRequest request = SessionWorld::MakeRequest(kTokens);
  std::shared_ptr<FakeCaller> caller = std::make_shared<FakeCaller>();
  std::shared_ptr<SessionDriver> driver;

  void StartAndRunTo(milliseconds when) {
    log.Watch(*caller, "caller");
    driver = world.Start(caller, request);
    world.time.AdvanceBy(when);
  }

  void ResumeElsewhere() {
    log.Write("the instance dies; the caller resumes at another");
    driver.reset();
    const std::string event_id = caller->last_event_id;
    caller = std::make_shared<FakeCaller>();
    log.Watch(*caller, "resumed caller");
    driver = world.Resume(caller, event_id, request);
  }

  void CheckAgainst(const std::string& name) {
    world.RunToCompletion();
    const std::string difference = SessionLog::Compare(log.Text(), name);
    STRCMP_EQUAL("", difference.c_str());
  }
};

TEST(GoldenSessions, Healthy) {
  StartAndRunTo(milliseconds(0));
  CheckAgainst("healthy");
}

TEST(GoldenSessions, StageCrashesInPrefill) {
  // The middle stage crashes during the prefill.
  StartAndRunTo(milliseconds(12));
  log.Write("b1 crashes");
  world.stages.Crash("b1");
  CheckAgainst("crash_in_prefill");
}

TEST(GoldenSessions, StageCrashesMidAnswer) {
  // The middle stage crashes between two tokens and its cache is lost.
  StartAndRunTo(kMidAnswer);
  log.Write("b1 crashes");
  world.stages.Crash("b1");
  CheckAgainst("crash_mid_answer");
}

TEST(GoldenSessions, StageFreezesAndWakes) {
  // Guards against duplicate tokens when a replaced stage answers late.
  StartAndRunTo(kMidAnswer);
  log.Write("b1 freezes");
  world.stages.Freeze("b1");
  world.time.AdvanceBy(milliseconds(60));
  log.Write("b1 wakes");
  world.stages.Wake("b1");
  CheckAgainst("freeze_and_wake");
}

TEST(GoldenSessions, AnswerIsLostWithItsConnection) {
  // Guards against an unnecessary replay when the connection fails after the step was run.
  StartAndRunTo(kMidAnswer);
  log.Write("the next answer of b1 is cut off");
  world.stages.AddFault("b1", StepFault::kCutBeforeAnswer);
  CheckAgainst("lost_answer");
}

TEST(GoldenSessions, ServerLeaves) {
  // The cache of a leaving server is transferred instead of replayed.
  StartAndRunTo(kMidAnswer);
  log.Write("b1 leaves");
  world.SetState("b1", BackendServerState::kLeaving);
  driver->LeaveDrainingServers();
  CheckAgainst("planned_leave");
}

TEST(GoldenSessions, TransferIsInterrupted) {
  // An interrupted transfer falls back to a replay.
  StartAndRunTo(kMidAnswer);
  log.Write("b1 leaves; the transfer will be cut");
  world.stages.InterruptNextTransfer();
  world.SetState("b1", BackendServerState::kLeaving);
  driver->LeaveDrainingServers();
  CheckAgainst("planned_leave_cut");
}

TEST(GoldenSessions, OnlySpareHasOlderVersion) {
  // Guards against an answer from two versions: the only spare holds an older one.
  world.stages.At("b2").Load("0");
  StartAndRunTo(kMidAnswer);
  log.Write("b1 crashes");
  world.stages.Crash("b1");
  CheckAgainst("older_version");
}

TEST(GoldenSessions, InstanceDies) {
  // The stages still hold the session when another instance resumes it.
  StartAndRunTo(kMidAnswer);
  ResumeElsewhere();
  CheckAgainst("instance_dies");
}

TEST(GoldenSessions, InstanceAndLastStageDieTogether) {
  // The tokens are lost with the last stage and must be regenerated.
  StartAndRunTo(kMidAnswer);
  log.Write("c1 crashes");
  world.stages.Crash("c1");
  world.SetState("c1", BackendServerState::kGone);
  ResumeElsewhere();
  CheckAgainst("instance_and_stage_die");
}

}  // namespace zinnia
