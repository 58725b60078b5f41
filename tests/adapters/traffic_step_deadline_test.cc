#include "zinnia_adapters/engines/step_deadline.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

TEST_GROUP(TrafficStepDeadline){};

// Symptom: the second freeze of a server is noticed after half a second, the third after two.
// Sequence: a server that answers in 5 ms freezes now and then. Cause: the time waited for a missed
// deadline was learned as if steps took that long.
TEST(TrafficStepDeadline, FreezesDoNotLengthenTheNextDeadline) {
  StepDeadline deadline;
  for (int freeze = 0; freeze < 4; ++freeze) {
    for (int step = 0; step < 48; ++step) {
      deadline.Observe(std::chrono::milliseconds(5), 1);
    }
    CHECK(deadline.DeadlineFor(1) == StepDeadline::kFloor);
    deadline.ObserveMissed();
  }
}

// Symptom: a server that became slower for good is left by every session for ever.
TEST(TrafficStepDeadline, FollowsAServerThatMissesEveryDeadline) {
  StepDeadline deadline;
  for (int step = 0; step < 64; ++step) {
    deadline.Observe(std::chrono::milliseconds(5), 1);
  }
  for (int missed = 0; missed < 96; ++missed) {
    deadline.ObserveMissed();
  }
  CHECK(deadline.DeadlineFor(1) > std::chrono::milliseconds(400));
}

TEST(TrafficStepDeadline, FollowsTheLatenciesBetweenFloorAndCap) {
  StepDeadline deadline;
  CHECK(StepDeadline::kUnlearned == deadline.DeadlineFor(1));
  for (int sample = 0; sample < 200; ++sample) {
    deadline.Observe(std::chrono::milliseconds(1), 1);
  }
  CHECK(StepDeadline::kFloor == deadline.DeadlineFor(1));
  CHECK(std::chrono::milliseconds(400) <= deadline.DeadlineFor(100));
  CHECK(std::chrono::milliseconds(600) >= deadline.DeadlineFor(100));
  // A server that became a hundred times slower must not miss every deadline from then on.
  for (int sample = 0; sample < 4000; ++sample) {
    deadline.Observe(std::chrono::milliseconds(100), 1);
  }
  CHECK(std::chrono::milliseconds(400) <= deadline.DeadlineFor(1));
  CHECK(StepDeadline::kCap == deadline.DeadlineFor(100'000));
}

}  // namespace
}  // namespace zinnia
