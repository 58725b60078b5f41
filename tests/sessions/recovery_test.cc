#include <chrono>
#include <memory>

#include <CppUTest/TestHarness.h>

#include "tests/sessions/session_world.h"

namespace zinnia {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kMidAnswer{90};

std::string FactOf(const RecordList& list, const std::string& decision, const std::string& name) {
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

  void CheckWhole() {
    world.RunOut();
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

TEST(Recovery, CrashDuringPrefillStartsAgainElsewhere) {
  // Symptom: no first token. The second stage dies while it reads the prompt.
  driver = world.Start(caller);
  world.time.AdvanceBy(milliseconds(12));
  world.stages.Crash("b1");
  CheckWhole();
}

TEST(Recovery, LastStageCrashReplaysAndFirstStageCrashAdoptsTheRest) {
  // Symptom: the answer stops. The first stage dies between two tokens; the caches of the stages
  // behind it are still good, so only the first stage needs the known tokens again.
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Crash("a1");
  CheckWhole();
  STRCMP_EQUAL("1", FactOf(world.recorder, "start_attempt", "hops_replayed").c_str());
}

TEST(Recovery, FrozenStageThatWakesChangesNothing) {
  // Symptom: a token twice, or two interleaved answers. A stage freezes, is replaced at the
  // deadline, wakes, runs the step that reached it before and answers late.
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Freeze("c1");
  world.time.AdvanceBy(milliseconds(70));
  STRCMP_EQUAL("c2", driver->Status().route.hops[2].server.c_str());
  world.stages.Wake("c1");
  CheckWhole();
}

TEST(Recovery, LostAnswerOfLivingStageCostsNoReplay) {
  // Symptom: a long pause after a cut connection. The stage ran the step, its answer was lost; its
  // cache is one position ahead and is cut back by the adoption.
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.AddFault("b1", StepFault::kCutBeforeAnswer);
  CheckWhole();
  STRCMP_EQUAL("0", FactOf(world.recorder, "start_attempt", "hops_replayed").c_str());
  STRCMP_EQUAL("b1", driver->Status().route.hops[1].server.c_str());
}

TEST(Recovery, StageThatLostItsCacheIsReplayedWhereItIs) {
  // Symptom: the answer ends with an error though all servers live. A stage evicted the session's
  // cache, and refuses the next step as unknown.
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.At("b1").Release("s-1", 1);
  CheckWhole();
  STRCMP_EQUAL("2", FactOf(world.recorder, "start_attempt", "hops_replayed").c_str());
}

TEST(Recovery, LostDoubledAndLateMessagesDoNotShow) {
  // Symptom: a doubled or missing token. A step or its answer is lost, comes twice, or comes after
  // the deadline and so after the answers of the next attempt.
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
      faulty_world.RunOut();
      STRCMP_EQUAL(SessionWorld::ExpectedText().c_str(), faulty_caller->text.c_str());
      CHECK_EQUAL(1, faulty_caller->final_events);
    }
  }
}

TEST(Recovery, DoubledMessagesOfSinglePipelineStageAreRecognised) {
  // Symptom: a needless recovery, or a token taken for the next one. With one stage, a repeated
  // answer has the attempt and hop of the step in flight, and differs in its length only.
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
    single.RunOut();
    STRCMP_EQUAL(SessionWorld::ExpectedText().c_str(), single_caller->text.c_str());
    CHECK_EQUAL(0U, single_driver->Status().recoveries);
  }
}

TEST(Recovery, SecondFailureDuringRecoveryIsRecoveredToo) {
  // Symptom: the session hangs after two failures. The replacement crashes while it replays, and a
  // stage behind it, whose cache was to be adopted, is gone as well.
  world.AddPipeline("reserve", "1", 2, "x");
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Crash("b1");
  world.stages.Crash("c1");
  world.time.AdvanceBy(milliseconds(14));
  world.stages.Crash("b2");
  CheckWhole();
}

TEST(Recovery, DegradedLinkIsLeft) {
  // Symptom: tokens trickle. The link to one stage becomes a hundred times slower than usual.
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.SlowLink("b1", 100);
  CheckWhole();
  STRCMP_EQUAL("b2", driver->Status().route.hops[1].server.c_str());
}

TEST(Recovery, NeverGoesOnWithAnotherVersion) {
  // Symptom: an answer whose end does not fit its beginning. The only spare, listed in the same
  // pipeline, was loaded with an older version; so is the only other pipeline.
  world.stages.At("b2").Load("0");
  world.snapshots.current->servers.at("b2").server.loaded->version = "0";
  world.AddPipeline("old", "0", 1, "old");
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Crash("b1");
  world.RunOut();
  CheckFailed(ErrorKind::kRecoveryFailed, WasRun::kYes);
  CHECK_TRUE(SessionWorld::ExpectedText().starts_with(caller->text));
  CHECK_TRUE(caller->error->retry_after.has_value());
}

TEST(Recovery, FindsOtherPipelineOfSameVersionBehindOneOfAnother) {
  // Symptom: an answer fails during a rollout though a fitting pipeline exists. The chooser would
  // take the new version's pipeline first.
  SessionWorld rollout(1);
  rollout.AddPipeline("next", "2", 1, "n");
  rollout.AddPipeline("reserve", "1", 1, "r");
  driver = rollout.Start(caller);
  rollout.time.AdvanceBy(kMidAnswer);
  rollout.stages.Crash("b1");
  rollout.RunOut();
  STRCMP_EQUAL(SessionWorld::ExpectedText().c_str(), caller->text.c_str());
}

TEST(Recovery, PipelineThatChangedVersionSinceTheSnapshotIsRefused) {
  // Symptom: two versions in one answer. The configuration already names the next version of the
  // other pipeline, and its servers are still listed with the present one.
  SessionWorld rollout(1);
  rollout.AddPipeline("next", "2", 1, "n");
  for (const char* server : {"a1n", "b1n", "c1n"}) {
    rollout.snapshots.current->servers.at(server).server.loaded->version = "1";
  }
  driver = rollout.Start(caller);
  rollout.time.AdvanceBy(kMidAnswer);
  rollout.stages.Crash("b1");
  rollout.RunOut();
  CHECK_TRUE(caller->error.has_value());
  CHECK_TRUE(SessionWorld::ExpectedText().starts_with(caller->text));
}

TEST(Recovery, BeforeTheFirstTokenAnotherVersionMayAnswer) {
  // Symptom: an error though a whole pipeline stands ready. A stage dies during the prefill and the
  // only other pipeline has another version; nothing was generated that it could contradict.
  SessionWorld single(1);
  single.AddPipeline("next", "2", 1, "n");
  driver = single.Start(caller);
  single.time.AdvanceBy(milliseconds(12));
  single.stages.Crash("b1");
  single.RunOut();
  CHECK_TRUE(caller->usage.has_value());
  STRCMP_EQUAL("2", driver->Status().route.version.c_str());
}

TEST(Recovery, WaitsBoundedTimeForSpareThatAppears) {
  // Symptom: answers fail although a spare comes up a second later. No replica is left when the
  // stage dies; then the membership shows one.
  world.SetState("b2", BackendServerState::kGone);
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Crash("b1");
  world.time.AdvanceBy(std::chrono::seconds(1));
  world.SetState("b2", BackendServerState::kLive);
  CheckWhole();
}

TEST(Recovery, OnlyServerThatFreezesForSecondsIsWaitedFor) {
  // Symptom: all sessions of a pipeline without spares fail at a short freeze. Tries in quick
  // succession used up the session's recoveries before the server woke.
  world.SetState("b2", BackendServerState::kGone);
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Freeze("b1");
  world.time.AdvanceBy(std::chrono::seconds(3));
  world.stages.Wake("b1");
  CheckWhole();
}

TEST(Recovery, RestartedServerMayServeAgain) {
  // Symptom: an answer fails though its server is back. It is the only one with these layers, it
  // failed the session, and it comes up again under the same name with a new incarnation.
  world.SetState("b2", BackendServerState::kGone);
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Crash("b1");
  world.time.AdvanceBy(std::chrono::seconds(1));
  world.stages.Restart("b1");
  world.SetState("b1", BackendServerState::kLive);
  ++world.snapshots.current->servers.at("b1").server.incarnation;
  CheckWhole();
}

TEST(Recovery, ServerWhoseConnectionsKeepBreakingIsLeft) {
  // Symptom: a session recovers again and again at one server until it is given up. The first cut
  // says little of the server, the second one is enough.
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  for (int cut = 0; cut < 20; ++cut) {
    world.stages.AddFault("b1", StepFault::kCutBeforeStep);
  }
  CheckWhole();
  CHECK_EQUAL(2U, driver->Status().recoveries);
}

TEST(Recovery, StageThatGivesMalformedAnswersIsLeft) {
  // Symptom: the instance crashes. A stage of another release calls a step done, but gives fewer
  // states than positions, or no token.
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.AddFault("b1", StepFault::kMalformedAnswer);
  world.time.AdvanceBy(milliseconds(60));
  world.stages.AddFault("c1", StepFault::kMalformedAnswer);
  CheckWhole();
  STRCMP_EQUAL("b2", driver->Status().route.hops[1].server.c_str());
  STRCMP_EQUAL("c2", driver->Status().route.hops[2].server.c_str());
}

TEST(Recovery, StepThatIsNeverAnsweredDoesNotHangTheSession) {
  // Symptom: a caller waits for ever and no metric moves. The links lost a step without telling.
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.AddFault("b1", StepFault::kSilence);
  world.RunOut();
  world.RunOut();
  CheckWhole();
}

TEST(Recovery, UnansweredPrefillIsUnknownNotUnrun) {
  // Symptom: a caller is told "not run" and doubles work that ran. Every stage that gets the prompt
  // freezes; nobody can say whether it was run.
  world.stages.Freeze("a1");
  world.stages.Freeze("a2");
  driver = world.Start(caller);
  world.RunOut();
  CheckFailed(ErrorKind::kRecoveryFailed, WasRun::kUnknown);
}

TEST(Recovery, RefusedByAllIsNotRun) {
  // Symptom: "unknown" where "not run" can be proved. All first stages refuse as overloaded.
  world.stages.At("a1").refuses_as_overloaded = true;
  world.stages.At("a2").refuses_as_overloaded = true;
  driver = world.Start(caller);
  world.RunOut();
  CheckFailed(ErrorKind::kRecoveryFailed, WasRun::kNo);
  CHECK_FALSE(world.stages.Ledger().WasRun("s-1"));
}

TEST(Recovery, GateIsAskedBeforeStartAndBeforeEachRecovery) {
  // Symptom: a poison request crashes one server after the other. The gate sees two distinct
  // crashed servers and says no; the third server must never get the request.
  world.gate.second_crash_error = MakeError(ErrorKind::kQuarantined, "crashed two servers");
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Crash("b1");
  world.time.AdvanceBy(milliseconds(20));
  world.stages.Crash("b2");
  world.RunOut();
  CheckFailed(ErrorKind::kQuarantined, WasRun::kYes);
  CHECK_EQUAL(2U, world.gate.most_crashes);
}

TEST(Recovery, RefusedStartReachesNoStage) {
  world.gate.start_error = MakeError(ErrorKind::kQuarantined, "known to crash servers");
  driver = world.Start(caller);
  world.RunOut();
  CheckFailed(ErrorKind::kQuarantined, WasRun::kNo);
  CHECK_FALSE(world.stages.Ledger().WasRun("s-1"));
}

TEST(Recovery, StepsAreIsolatedFromCrashUntilProgress) {
  // Symptom: a healthy request is blamed for the crash that its neighbour in the batch caused.
  std::string isolated;
  world.stages.on_send = [&isolated](const auto&, const StepRequest& step) {
    isolated.push_back(step.isolated ? 'i' : '-');
  };
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  world.stages.Crash("b1");
  CheckWhole();
  const std::string expected_start = "-----------iii";
  STRCMP_EQUAL((expected_start + std::string(isolated.size() - expected_start.size(), '-')).c_str(),
               isolated.c_str());
}

TEST(Recovery, RecoveriesAreBounded) {
  // Symptom: one session keeps a broken stage pair busy for ever. The first stage drops the cache
  // before each step.
  driver = world.Start(caller);
  world.stages.on_step = [this](const auto& server, const auto&, const auto&) {
    if (server == "c1") {
      world.stages.At("a1").Release("s-1", driver->Status().attempt);
    }
  };
  world.RunOut();
  CheckFailed(ErrorKind::kRecoveryFailed, WasRun::kYes);
  CHECK_EQUAL(8U, driver->Status().recoveries);
}

TEST(Recovery, CancelledSessionIsSilentAndReleased) {
  driver = world.Start(caller);
  world.time.AdvanceBy(kMidAnswer);
  driver->Cancel();
  const std::uint32_t tokens = caller->tokens;
  world.RunOut();
  CHECK_TRUE(driver->Status().state == SessionState::kFailed);
  CHECK_EQUAL(0, caller->final_events);
  CHECK_EQUAL(tokens, caller->tokens);
  CHECK_EQUAL(0U, world.stages.At("b1").HeldCaches());
  CHECK_EQUAL(0, world.chooser.routes_in_use);
}

}  // namespace zinnia
