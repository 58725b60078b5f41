#include <memory>

#include <CppUTest/TestHarness.h>

#include "tests/sessions/session_world.h"

namespace zinnia {

TEST_GROUP(HealthySession){};

TEST(HealthySession, DeliversEachTokenOnceAndReleasesAllCaches) {
  SessionWorld world;
  const auto caller = std::make_shared<FakeCaller>();
  const auto driver = world.Start(caller);
  world.RunToCompletion();
  CHECK_EQUAL(1, caller->final_events);
  CHECK_TRUE(caller->usage.has_value());
  CHECK_EQUAL(12U, caller->tokens);
  CHECK_EQUAL(12U, caller->usage->answer_tokens);
  CHECK_EQUAL(SessionWorld::kPromptTokens, caller->usage->prompt_tokens);
  const std::string violation = world.stages.Ledger().FindViolation(
      "s-1", driver->Status().attempt, SessionWorld::kLayers, SessionWorld::kPromptTokens + 11);
  STRCMP_EQUAL("", violation.c_str());
  CHECK_EQUAL(0U, world.stages.At("a1").HeldCaches());
  CHECK_EQUAL(0, world.chooser.routes_in_use);
}

TEST(HealthySession, ReplacesStageThatCrashesBetweenTokens) {
  // Guards against an answer that stops when a stage crashes with its cache.
  SessionWorld world;
  const auto caller = std::make_shared<FakeCaller>();
  const auto driver = world.Start(caller);
  world.time.AdvanceBy(std::chrono::milliseconds(90));
  world.stages.Crash("b1");
  world.RunToCompletion();
  STRCMP_EQUAL(SessionWorld::ExpectedText().c_str(), caller->text.c_str());
  CHECK_EQUAL(1U, driver->Status().recoveries);
  STRCMP_EQUAL("b2", driver->Status().route.hops[1].server.c_str());
}

}  // namespace zinnia
