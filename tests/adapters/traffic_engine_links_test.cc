#include <fmt/format.h>

#include <algorithm>

#include "tests/adapters/traffic_engine_links_fixture.h"
#include "zinnia_adapters/engines/engine_channel.h"
#include "zinnia_adapters/engines/step_queue.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

namespace json = boost::json;

TEST_GROUP_BASE(TrafficEngineLinks, EngineLinksTest){};

TEST(TrafficEngineLinks, StepsOfOneTurnGoInOneRequest) {
  for (std::uint32_t hop = 0; hop < 5; ++hop) {
    Send(hop, MakeStep(1));
  }
  CHECK(RunUntil(loop, [this] { return answers->count == 5; }));
  LONGS_EQUAL(1, batches.size());
  LONGS_EQUAL(5, batches[0].size());
  CHECK(StepStatus::kDone == answers->StatusOf(4));
  LONGS_EQUAL(6, answers->answers[4][0].length);
  STRCMP_EQUAL("s\"1", answers->answers[4][0].states.at(0).c_str());
  STRCMP_EQUAL("b-1 3 4", events.load.c_str());
  STRCMP_EQUAL(
      R"({"session":"s-1","attempt":2,"position":5,"first_layer":0,"end_layer":8,"version":"v1","priority":1,"seed":0,"sample":false,"tokens":[11]})",
      json::serialize(batches[0][0]).c_str());
}

TEST(TrafficEngineLinks, BatchGathersWhileTwoAreInFlight) {
  hold = true;
  for (std::uint32_t hop = 0; hop < 2; ++hop) {
    Send(hop, MakeStep(1));
    CHECK(RunUntil(loop, [&] { return batches.size() == hop + 1; }));
  }
  for (std::uint32_t hop = 2; hop < 6; ++hop) {
    Send(hop, MakeStep(1));
    RunReady(loop);
  }
  LONGS_EQUAL(2, batches.size());
  AnswerHeld(0);
  CHECK(RunUntil(loop, [this] { return batches.size() == 3; }));
  LONGS_EQUAL(4, batches[2].size());
}

TEST(TrafficEngineLinks, BatchIsBoundedInStepsAndBytes) {
  // Symptom: all sessions of a server fail together whenever it is busy. Sequence: many steps
  // gather, their request grows past the size that the server takes. Cause: batches bounded by
  // nothing.
  for (std::uint32_t hop = 0; hop < StepQueue::kMostSteps + 1; ++hop) {
    Send(hop, MakeStep(1));
  }
  CHECK(RunUntil(loop, [this] { return answers->count == StepQueue::kMostSteps + 1; }));
  // They travel on two connections, so either may arrive first.
  LONGS_EQUAL(2, batches.size());
  LONGS_EQUAL(StepQueue::kMostSteps, std::max(batches[0].size(), batches[1].size()));
  batches.clear();

  StepRequest large = MakeStep(1);
  large.input = HiddenInput{{std::string(StepQueue::kMostBytes / 2, 'h')}};
  for (std::uint32_t hop = 1000; hop < 1003; ++hop) {
    Send(hop, large);
  }
  CHECK(RunUntil(loop, [this] { return answers->count == StepQueue::kMostSteps + 4; }));
  LONGS_EQUAL(2, batches.size());
  LONGS_EQUAL(2, std::max(batches[0].size(), batches[1].size()));
}

TEST(TrafficEngineLinks, BatchThatWaitedBehindAnotherIsMeasuredWithoutTheWait) {
  // Symptom: servers seem half as fast as they are under load. Sequence: two batches are in flight,
  // the engine runs one after the other, both are timed from their sending. Cause: the second one's
  // time holds the first one's.
  constexpr int kRounds = 40;
  const auto take = [](std::size_t steps) {
    return std::chrono::milliseconds(2) + std::chrono::microseconds(100) * steps;
  };
  hold = true;
  std::uint32_t hop = 0;
  for (int round = 0; round < kRounds; ++round) {
    held.clear();
    batches.clear();
    for (const std::size_t steps : {1, 8}) {
      const std::size_t sent = batches.size();
      for (std::size_t step = 0; step < steps; ++step) {
        Send(hop++, MakeStep(1));
      }
      CHECK(RunUntil(loop, [&] { return batches.size() == sent + 1; }));
    }
    for (std::size_t batch = 0; batch < 2; ++batch) {
      time.AdvanceBy(take(batches[batch].size()));
      const std::size_t answered = answers->count + batches[batch].size();
      AnswerHeld(batch);
      CHECK(RunUntil(loop, [&] { return answers->count == answered; }));
    }
    time.AdvanceBy(std::chrono::milliseconds(50));
  }
  CHECK(events.rates.has_value());
  DOUBLES_EQUAL(64 / 0.0084, events.rates->decode_tokens_per_second, 64 / 0.0084 * 0.01);
  CHECK(events.rates->empty_step_time > std::chrono::microseconds(1'950));
  CHECK(events.rates->step_time_p50 > std::chrono::milliseconds(2));
}

TEST(TrafficEngineLinks, LongPrefillDoesNotHoldUpTokens) {
  // Symptom: all streams pause while one caller sends a long prompt. Sequence: a prefill of many
  // positions is in flight; decode steps come. Cause: both kinds in the same lanes.
  hold = true;
  Send(0, MakeStep(2000));
  CHECK(RunUntil(loop, [this] { return batches.size() == 1; }));
  Send(1, MakeStep(3000));
  hold = false;
  Send(2, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return answers->count == 1; }));
  CHECK(StepStatus::kDone == answers->StatusOf(2));
  LONGS_EQUAL(2, batches.size());
}

TEST(TrafficEngineLinks, IsolatedStepsGoOneAtATimeInRequestsOfTheirOwn) {
  hold = true;
  Send(0, MakeStep(1, true));
  Send(1, MakeStep(1, true));
  Send(2, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return batches.size() == 2; }));
  RunReady(loop);
  LONGS_EQUAL(2, batches.size());
  LONGS_EQUAL(1, batches[0].size());
  LONGS_EQUAL(1, batches[1].size());
  AnswerHeld(0);
  AnswerHeld(1);
  CHECK(RunUntil(loop, [this] { return batches.size() == 3; }));
}

TEST(TrafficEngineLinks, IsolatedStepsWaitUntilTheCrashesAreKnown) {
  // Symptom: one request takes down a third and a fourth server. Sequence: it crashes one server,
  // is helped to a second within a millisecond, and copies start through instances that have not
  // heard of the first crash. Cause: the second try did not wait for the others to know.
  links.HoldIsolated();
  links.HoldIsolated();
  Send(0, MakeStep(1, true));
  Send(1, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return answers->count == 1; }));
  LONGS_EQUAL(1, batches.size());
  links.ReleaseIsolated();
  RunReady(loop);
  LONGS_EQUAL(1, batches.size());
  links.ReleaseIsolated();
  CHECK(RunUntil(loop, [this] { return answers->count == 2; }));
}

TEST(TrafficEngineLinks, LeavingAnswerIsReported) {
  status = "leaving";
  Send(0, MakeStep(1));
  CHECK(RunUntil(loop, [this] { return answers->count == 1; }));
  STRCMP_EQUAL("leaving b-1", events.log.at(0).c_str());
}

TEST(TrafficEngineLinks, CutImportIsReleasedAtTheTarget) {
  // Symptom: engines fill with half caches. Sequence: export done, the import's connection breaks.
  // Cause: whether the import was kept is not known, and nobody cleans up.
  std::string error;
  links.MoveCache("b-1", "b-1", "s-1", 2, 3, [&](const Result<std::uint32_t>& moved) {
    error = std::string(NameOf(moved.error().kind));
  });
  CHECK(RunUntil(loop, [this] { return held.size() == 1; }));
  held[0].answer(200, R"({"length":9,"prompt_tokens":4,"blob":"xyz"})");
  CHECK(RunUntil(loop, [this] { return held.size() == 2; }));
  STRCMP_EQUAL(R"({"length":9,"prompt_tokens":4,"blob":"xyz","session":"s-1","attempt":3})",
               held[1].request.body().c_str());
  held[1].drop();
  CHECK(RunUntil(loop, [this] { return held.size() == 3; }));
  STRCMP_EQUAL(R"({"session":"s-1","attempt":3})", held[2].request.body().c_str());
  STRCMP_EQUAL("outcome_unknown", error.c_str());
}

TEST(TrafficEngineLinks, FindGivesTokensOrNotFound) {
  std::string found;
  const auto callback = [&](const Result<HeldSession>& held_session) {
    found += held_session ? held_session->tokens.at(0).text
                          : std::string(NameOf(held_session.error().kind));
  };
  links.FindSession("b-1", "s-1", callback);
  links.FindSession("b-1", "s-2", callback);
  CHECK(RunUntil(loop, [this] { return held.size() == 2; }));
  held[0].answer(
      200,
      R"({"attempt":1,"length":3,"prompt_tokens":2,"tokens":[{"id":1,"text":"a","end":false}]})");
  CHECK(RunUntil(loop, [&] { return found == "a"; }));
  held[1].answer(404, "{}");
  CHECK(RunUntil(loop, [&] { return found == "anot_found"; }));
}

}  // namespace
}  // namespace zinnia
