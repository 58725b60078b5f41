#include <chrono>
#include <memory>

#include <CppUTest/TestHarness.h>

#include "tests/sessions/session_world.h"

namespace zinnia {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kMidAnswer{90};

std::string FactOf(const FakeDecisionRecorder& list,
                   const std::string& decision,
                   const std::string& name) {
  for (const DecisionRecord& record : list.records) {
    for (const auto& [fact, value] : record.facts) {
      if (record.decision == decision && fact == name) {
        return value;
      }
    }
  }
  return "missing";
}

}  // namespace

TEST_GROUP(Recovery) {
  SessionWorld world;
  std::shared_ptr<FakeCaller> caller = std::make_shared<FakeCaller>();
  std::shared_ptr<SessionDriver> driver;

  void CheckComplete() {
    world.RunToCompletion();
    CHECK_EQUAL(1, caller->final_events);
    STRCMP_EQUAL(SessionWorld::ExpectedText().c_str(), caller->text.c_str());
    const std::string violation = world.stages.Ledger().FindViolation(
        "s-1", driver->Status().attempt, SessionWorld::kLayers, SessionWorld::kPromptTokens + 11);
    STRCMP_EQUAL("", violation.c_str());
    CHECK_EQUAL(0, world.chooser.routes_in_use);
  }

  void CheckFailed(ErrorKind kind, WasRun was_run) {
    CHECK_EQUAL(1, caller->final_events);
    CHECK_TRUE(caller->error.has_value());
    STRCMP_EQUAL(NameOf(kind).data(), NameOf(caller->error->kind).data());
    STRCMP_EQUAL(NameOf(was_run).data(), NameOf(caller->error->was_run).data());
    CHECK_EQUAL(0, world.chooser.routes_in_use);
  }
};

TEST(Recovery, CrashDuringPrefillRestartsOnAnotherServer) {
  // The second stage crashes during the prefill.
  driver = world.Start(caller);
  world.time.AdvanceBy(milliseconds(12));
  world.stages.Crash("b1");
  CheckComplete();
}

TEST(Recovery, FirstStageCrashReplaysThatStageOnly) {
  // Guards against replaying the later stages, whose caches are still valid.
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Crash("a1");
  CheckComplete();
  STRCMP_EQUAL("1", FactOf(world.recorder, "start_attempt", "hops_replayed").c_str());
}

TEST(Recovery, LateAnswerOfAReplacedStageIsIgnored) {
  // Guards against duplicate tokens when a replaced stage resumes after a freeze.
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Freeze("c1");
  world.time.AdvanceBy(milliseconds(70));
  STRCMP_EQUAL("c2", driver->Status().route.hops[2].server.c_str());
  world.stages.Wake("c1");
  CheckComplete();
}

TEST(Recovery, LostAnswerNeedsNoReplay) {
  // Guards against a replay when only the answer was lost: the adoption truncates the cache, which
  // is one position ahead.
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.AddFault("b1", StepFault::kCutBeforeAnswer);
  CheckComplete();
  STRCMP_EQUAL("0", FactOf(world.recorder, "start_attempt", "hops_replayed").c_str());
  STRCMP_EQUAL("b1", driver->Status().route.hops[1].server.c_str());
}

TEST(Recovery, StageThatEvictedItsCacheIsReplayedInPlace) {
  // Guards against failing the session when a stage evicted its cache.
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.At("b1").Release("s-1", 1);
  CheckComplete();
  STRCMP_EQUAL("2", FactOf(world.recorder, "start_attempt", "hops_replayed").c_str());
}

TEST(Recovery, LostDuplicatedAndLateMessagesDoNotChangeTheAnswer) {
  // Guards against duplicate or missing tokens.
  constexpr StepFault kFaults[] = {StepFault::kLoseStep,     StepFault::kLoseAnswer,
                                   StepFault::kDelayAnswer,  StepFault::kCutBeforeStep,
                                   StepFault::kDoubleAnswer, StepFault::kDoubleStep};
  for (const StepFault fault : kFaults) {
    for (const char* server : {"a1", "b1", "c1"}) {
      SessionWorld faulty_world;
      const auto faulty_caller = std::make_shared<FakeCaller>();
      const auto faulty_driver = faulty_world.Start(faulty_caller);
      faulty_world.time.AdvanceBy(kMidAnswer);
      faulty_world.stages.AddFault(server, fault);
      faulty_world.RunToCompletion();
      STRCMP_EQUAL(SessionWorld::ExpectedText().c_str(), faulty_caller->text.c_str());
      CHECK_EQUAL(1, faulty_caller->final_events);
    }
  }
}

TEST(Recovery, DuplicatesOfASingleStageAreRecognised) {
  // With one stage, a duplicate answer has the attempt and hop of the step in flight and differs
  // only in its length.
  for (const StepFault fault : {StepFault::kDoubleAnswer, StepFault::kDoubleStep}) {
    SessionWorld single;
    single.snapshots.current->pipelines.clear();
    const LayerRange all{0, SessionWorld::kLayers};
    single.AddServer("whole", {"swahili", "1", all});
    single.snapshots.current->pipelines.push_back({"one", "swahili", "1", {{all, {"whole"}}}});
    const auto single_caller = std::make_shared<FakeCaller>();
    const auto single_driver = single.Start(single_caller);
    single.time.AdvanceBy(milliseconds(20));
    single.stages.AddFault("whole", fault);
    single.RunToCompletion();
    STRCMP_EQUAL(SessionWorld::ExpectedText().c_str(), single_caller->text.c_str());
    CHECK_EQUAL(0U, single_driver->Status().recoveries);
  }
}

TEST(Recovery, SecondFailureDuringRecoveryIsRecoveredToo) {
  // Guards against a hang when the replacement crashes during its replay and a later stage, whose
  // cache was to be adopted, has failed too.
  world.AddPipeline("reserve", "1", 2, "x");
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Crash("b1");
  world.stages.Crash("c1");
  world.time.AdvanceBy(milliseconds(14));
  world.stages.Crash("b2");
  CheckComplete();
}

TEST(Recovery, ServerBehindADegradedLinkIsReplaced) {
  // The link to one stage becomes a hundred times slower.
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.SlowLink("b1", 100);
  CheckComplete();
  STRCMP_EQUAL("b2", driver->Status().route.hops[1].server.c_str());
}

TEST(Recovery, NeverContinuesWithAnotherVersion) {
  // Guards against an answer from two versions: the spare and the other pipeline hold an older one.
  world.stages.At("b2").Load("0");
  world.snapshots.current->servers.at("b2").server.loaded->version = "0";
  world.AddPipeline("old", "0", 1, "old");
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Crash("b1");
  world.RunToCompletion();
  CheckFailed(ErrorKind::kRecoveryFailed, WasRun::kYes);
  CHECK_TRUE(SessionWorld::ExpectedText().starts_with(caller->text));
  CHECK_TRUE(caller->error->retry_after.has_value());
}

TEST(Recovery, FindsAnotherPipelineOfTheSameVersion) {
  // Guards against a failure during a rollout, when the chooser prefers the new version.
  SessionWorld rollout(1);
  rollout.AddPipeline("next", "2", 1, "n");
  rollout.AddPipeline("reserve", "1", 1, "r");
  driver = rollout.Start(caller);
  rollout.time.AdvanceBy(kMidAnswer);
  rollout.stages.Crash("b1");
  rollout.RunToCompletion();
  STRCMP_EQUAL(SessionWorld::ExpectedText().c_str(), caller->text.c_str());
}

TEST(Recovery, PipelineThatChangedVersionSinceTheSnapshotIsRefused) {
  // Guards against an answer from two versions when the configuration is ahead of the servers.
  SessionWorld rollout(1);
  rollout.AddPipeline("next", "2", 1, "n");
  for (const char* server : {"a1n", "b1n", "c1n"}) {
    rollout.snapshots.current->servers.at(server).server.loaded->version = "1";
  }
  driver = rollout.Start(caller);
  rollout.time.AdvanceBy(kMidAnswer);
  rollout.stages.Crash("b1");
  rollout.RunToCompletion();
  CHECK_TRUE(caller->error.has_value());
  CHECK_TRUE(SessionWorld::ExpectedText().starts_with(caller->text));
}

TEST(Recovery, BeforeTheFirstTokenAnotherVersionMayAnswer) {
  // Guards against an error when another version could still answer because no token was generated.
  SessionWorld single(1);
  single.AddPipeline("next", "2", 1, "n");
  driver = single.Start(caller);
  single.time.AdvanceBy(milliseconds(12));
  single.stages.Crash("b1");
  single.RunToCompletion();
  CHECK_TRUE(caller->usage.has_value());
  STRCMP_EQUAL("2", driver->Status().route.version.c_str());
}

TEST(Recovery, WaitsForASpareThatAppearsInTime) {
  // Guards against failing at once when no replica is left.
  world.SetState("b2", BackendServerState::kGone);
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Crash("b1");
  world.time.AdvanceBy(std::chrono::seconds(1));
  world.SetState("b2", BackendServerState::kLive);
  CheckComplete();
}

TEST(Recovery, WaitsForTheOnlyServerDuringAFreeze) {
  // Guards against using up all recoveries in quick succession during a short freeze.
  world.SetState("b2", BackendServerState::kGone);
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Freeze("b1");
  world.time.AdvanceBy(std::chrono::seconds(3));
  world.stages.Wake("b1");
  CheckComplete();
}

TEST(Recovery, RestartedServerMayServeAgain) {
  // Guards against excluding a server beyond its restart with a new incarnation.
  world.SetState("b2", BackendServerState::kGone);
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Crash("b1");
  world.time.AdvanceBy(std::chrono::seconds(1));
  world.stages.Restart("b1");
  world.SetState("b1", BackendServerState::kLive);
  ++world.snapshots.current->servers.at("b1").server.incarnation;
  CheckComplete();
}

TEST(Recovery, ServerWithRepeatedConnectionLossIsReplaced) {
  // Guards against using up all recoveries on one server.
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  for (int cut = 0; cut < 20; ++cut) {
    world.stages.AddFault("b1", StepFault::kCutBeforeStep);
  }
  CheckComplete();
  CHECK_EQUAL(2U, driver->Status().recoveries);
}

TEST(Recovery, StageWithMalformedAnswersIsReplaced) {
  // Guards against a crash when an answer has too few states or no token.
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.AddFault("b1", StepFault::kMalformedAnswer);
  world.time.AdvanceBy(milliseconds(60));
  world.stages.AddFault("c1", StepFault::kMalformedAnswer);
  CheckComplete();
  STRCMP_EQUAL("b2", driver->Status().route.hops[1].server.c_str());
  STRCMP_EQUAL("c2", driver->Status().route.hops[2].server.c_str());
}

TEST(Recovery, StepThatIsNeverAnsweredDoesNotHangTheSession) {
  // Guards against a hang when StageLinks never answers a step.
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.AddFault("b1", StepFault::kSilence);
  world.RunToCompletion();
  world.RunToCompletion();
  CheckComplete();
}

TEST(Recovery, UnansweredPrefillMayHaveRun) {
  // Guards against reporting "not run" when every stage that received the prompt froze.
  world.stages.Freeze("a1");
  world.stages.Freeze("a2");
  driver = world.Start(caller);
  world.RunToCompletion();
  CheckFailed(ErrorKind::kRecoveryFailed, WasRun::kUnknown);
}

TEST(Recovery, RefusalByAllStagesIsReportedAsNotRun) {
  // Guards against reporting "unknown" when all first stages refused the step.
  world.stages.At("a1").refuses_as_overloaded = true;
  world.stages.At("a2").refuses_as_overloaded = true;
  driver = world.Start(caller);
  world.RunToCompletion();
  CheckFailed(ErrorKind::kRecoveryFailed, WasRun::kNo);
  CHECK_FALSE(world.stages.Ledger().WasRun("s-1"));
}

TEST(Recovery, GateIsAskedBeforeStartAndBeforeEachRecovery) {
  // Guards against sending a request that crashed two servers to a third one.
  world.gate.second_crash_error = MakeError(ErrorKind::kQuarantined, "crashed two servers");
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Crash("b1");
  world.time.AdvanceBy(milliseconds(20));
  world.stages.Crash("b2");
  world.RunToCompletion();
  CheckFailed(ErrorKind::kQuarantined, WasRun::kYes);
  CHECK_EQUAL(2U, world.gate.most_crashes);
}

TEST(Recovery, RefusedStartReachesNoStage) {
  world.gate.start_error = MakeError(ErrorKind::kQuarantined, "known to crash servers");
  driver = world.Start(caller);
  world.RunToCompletion();
  CheckFailed(ErrorKind::kQuarantined, WasRun::kNo);
  CHECK_FALSE(world.stages.Ledger().WasRun("s-1"));
}

TEST(Recovery, StepsAreIsolatedFromCrashUntilProgress) {
  // Guards against attributing a crash to another request of the same batch.
  std::string isolated;
  world.stages.on_send = [&isolated](const auto&, const StepRequest& step) {
    isolated.push_back(step.isolated ? 'i' : '-');
  };
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Crash("b1");
  CheckComplete();
  const std::string expected_start = "-----------iii";
  STRCMP_EQUAL((expected_start + std::string(isolated.size() - expected_start.size(), '-')).c_str(),
               isolated.c_str());
}

TEST(Recovery, RecoveriesAreBounded) {
  // Guards against endless recoveries when a stage drops its cache before each step.
  driver = world.Start(caller);
  world.stages.on_step = [this](const auto& server, const auto&, const auto&) {
    if (server == "c1") {
      world.stages.At("a1").Release("s-1", driver->Status().attempt);
    }
  };
  world.RunToCompletion();
  CheckFailed(ErrorKind::kRecoveryFailed, WasRun::kYes);
  CHECK_EQUAL(8U, driver->Status().recoveries);
}

TEST(Recovery, CancelledSessionReleasesItsCachesAndDeliversNothing) {
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  driver->Cancel();
  const std::uint32_t tokens = caller->tokens;
  world.RunToCompletion();
  CHECK_TRUE(driver->Status().state == SessionState::kFailed);
  CHECK_EQUAL(0, caller->final_events);
  CHECK_EQUAL(tokens, caller->tokens);
  CHECK_EQUAL(0U, world.stages.At("b1").HeldCaches());
  CHECK_EQUAL(0, world.chooser.routes_in_use);
}

}  // namespace zinnia
