#include <fmt/format.h>

#include "tests/adapters/traffic_engine_links_fixture.h"
#include "zinnia_adapters/engines/engine_channel.h"
#include "zinnia_adapters/engines/step_deadline.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

TEST_GROUP_BASE(TrafficEngineLinks, EngineLinksTest){};

TEST(TrafficEngineLinks, MissedDeadlineAnswersAllAndTheLateAnswerIsDropped) {
  // Symptom: a session gets the answer of a step that it gave up. Sequence: the engine freezes, the
  // deadline passes, the session starts a new attempt, the engine wakes and answers. Cause: late
  // answers passed on.
  WarmUp();
  hold = true;
  Send(0, MakeStep(1));
  Send(1, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return batches.size() == 1; }));
  time.AdvanceBy(StepDeadline::kUnlearned);
  LONGS_EQUAL(2, answers->count);
  CHECK(StepStatus::kTimedOut == answers->StatusOf(0));
  CHECK(StepStatus::kTimedOut == answers->StatusOf(1));
  STRCMP_EQUAL("suspect b-1", events.log.at(0).c_str());

  AnswerHeld(0);
  CHECK(RunUntil(loop, [this] { return events.log.size() == 2; }));
  STRCMP_EQUAL("recovered b-1", events.log.at(1).c_str());
  LONGS_EQUAL(2, answers->count);
}

TEST(TrafficEngineLinks, FrozenServerStillGetsNewStepsAndAnswersThem) {
  // Symptom: after one freeze a server is never used again. Sequence: both lanes time out, the
  // server is well again, steps come. Cause: lanes of timed-out batches are not given back.
  WarmUp();
  hold = true;
  for (std::uint32_t hop = 0; hop < 2; ++hop) {
    Send(hop, MakeStep(1));
    CHECK(RunUntil(loop, [&] { return batches.size() == hop + 1; }));
  }
  time.AdvanceBy(StepDeadline::kUnlearned);
  hold = false;
  Send(2, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return answers->count == 3; }));
  CHECK(StepStatus::kDone == answers->StatusOf(2));
}

TEST(TrafficEngineLinks, RefusedReconnectionIsACrashAndNamesWhatWasInFlight) {
  WarmUp();
  hold = true;
  Send(0, MakeStep(1));
  Send(1, MakeStep(1, true));
  CHECK(RunUntil(loop, [this] { return batches.size() == 2; }));
  server.Crash();
  CHECK(RunUntil(loop, [this] { return answers->count == 2; }));
  CHECK(StepStatus::kServerCrashed == answers->StatusOf(0));
  CHECK(StepStatus::kServerCrashed == answers->StatusOf(1));
  LONGS_EQUAL(2, events.blamed.size());
  STRCMP_EQUAL("crashed b-1 incarnation 7", events.log.back().c_str());
}

TEST(TrafficEngineLinks, ProbeThatIsCutIsNoVerdict) {
  // Symptom: a request crashes all servers of a stage, one after the other. Sequence: the process
  // that dies still accepts the probe's connection and cuts it; then it is gone. Cause: the cut
  // probe was taken for a lost connection, so nobody was blamed.
  WarmUp();
  hold = true;
  Send(0, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return batches.size() == 1; }));
  cut_probes = true;
  held[0].drop();
  CHECK(RunUntil(loop, [this] { return server.targets.size() == 4; }));
  server.Crash();
  CHECK(RunUntil(loop, [this] {
    time.AdvanceBy(EngineChannel::kProbeAgainAfter);
    return answers->count == 1;
  }));
  CHECK(StepStatus::kServerCrashed == answers->StatusOf(0));
  CHECK_FALSE(answers->answers[0][0].never_sent);
  LONGS_EQUAL(1, events.blamed.size());
}

TEST(TrafficEngineLinks, NewIncarnationIsACrash) {
  // Symptom: a request that kills engines is never quarantined. Sequence: the engine dies and its
  // supervisor starts it at once, so that the reconnection is not refused. Cause: only refusal
  // counted as a crash.
  WarmUp();
  hold = true;
  Send(0, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return batches.size() == 1; }));
  server.Crash();
  incarnation = 8;
  server.Restart();
  CHECK(RunUntil(loop, [this] { return answers->count == 1; }));
  CHECK(StepStatus::kServerCrashed == answers->StatusOf(0));
  LONGS_EQUAL(1, events.blamed.size());
}

TEST(TrafficEngineLinks, CutConnectionToTheSameIncarnationIsNoCrash) {
  // Symptom: healthy requests are quarantined after a network cut. Sequence: a connection with a
  // batch in flight is cut, the engine goes on. Cause: a cut taken for a crash.
  WarmUp();
  hold = true;
  Send(0, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return batches.size() == 1; }));
  held[0].drop();
  CHECK(RunUntil(loop, [this] { return answers->count == 1; }));
  CHECK(StepStatus::kConnectionLost == answers->StatusOf(0));
  LONGS_EQUAL(0, events.blamed.size());
}

TEST(TrafficEngineLinks, CrashOfAnIdleServerBlamesNobody) {
  // Symptom: a harmless request is quarantined. Sequence: the server dies while idle; the next step
  // meets a refused connection. Cause: steps blamed that were never sent.
  WarmUp();
  server.Crash();
  RunReady(loop);
  Send(0, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return answers->count == 1; }));
  CHECK(StepStatus::kServerCrashed == answers->StatusOf(0));
  CHECK_TRUE(answers->answers[0][0].never_sent);
  LONGS_EQUAL(0, events.blamed.size());
}

// Guards against a request that is blamed for the death of two servers that went down together: its
// second try reaches one that takes connections, but is about to be gone.
TEST(TrafficEngineLinks, IsolatedStepsReachOnlyServersThatLive) {
  WarmUp();
  cut_probes = true;
  Send(0, MakeStep(1, true));
  CHECK(RunUntil(loop, [this] { return server.targets.back() == "/v1/state"; }));
  RunReady(loop);
  LONGS_EQUAL(0, batches.size());
  server.Crash();
  CHECK(RunUntil(loop, [this] {
    time.AdvanceBy(std::chrono::milliseconds(5));
    return answers->count == 1;
  }));
  CHECK(StepStatus::kServerCrashed == answers->StatusOf(0));
  CHECK_TRUE(answers->answers[0][0].never_sent);
  LONGS_EQUAL(0, events.blamed.size());
}

TEST(TrafficEngineLinks, ACrashUnderAnIsolatedStepSaysThatItRanAlone) {
  WarmUp();
  hold = true;
  Send(0, MakeStep(1, true));
  Send(1, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return batches.size() == 2; }));
  server.Crash();
  CHECK(RunUntil(loop, [this] { return answers->count == 2; }));
  LONGS_EQUAL(2, events.blamed.size());
  LONGS_EQUAL(1, events.alone.size());
  CHECK(Fingerprint::Of("isolated") == events.alone.front());
}

}  // namespace
}  // namespace zinnia
