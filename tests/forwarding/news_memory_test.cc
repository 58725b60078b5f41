#include "zinnia_decisions/forwarding/observed_state/news_memory.h"
#include "zinnia_base/time/virtual_time.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(NewsMemory) {
  VirtualTime time;
  NewsMemory<std::string> memory{time};
};

// Guards against a repetition that is taken for news, as its age leaves out the time on the way.
TEST(NewsMemory, ARepetitionIsNoNewsThoughItLooksYounger) {
  CHECK_TRUE(memory.Learn("server", time.Now()));
  for (int repetition = 0; repetition < 20; ++repetition) {
    time.AdvanceBy(milliseconds(100));
    CHECK_FALSE(memory.Learn("server", time.Now() - milliseconds(500)));
  }
}

// Guards against a second event that is taken for the first one.
TEST(NewsMemory, ALaterEventOfTheSameKeyIsNews) {
  CHECK_TRUE(memory.Learn("server", time.Now()));
  time.AdvanceBy(milliseconds(2'100));
  CHECK_TRUE(memory.Learn("server", time.Now()));
  CHECK_FALSE(memory.Learn("server", time.Now()));
}

// Guards against a memory that grows for ever, and one that renewed entries leave too early.
TEST(NewsMemory, ItForgetsInTheOrderInWhichItHeard) {
  const TimePoint first = time.Now();
  CHECK_TRUE(memory.Learn("a", first));
  time.AdvanceBy(seconds(20));
  CHECK_TRUE(memory.Learn("a", time.Now()));
  CHECK_TRUE(memory.Learn("b", first));
  time.AdvanceBy(seconds(15));
  CHECK_TRUE(memory.Learn("c", first));
  CHECK_FALSE(memory.Learn("a", first));  // Renewed 15 s ago.
  time.AdvanceBy(seconds(16));
  CHECK_TRUE(memory.Learn("d", first));
  CHECK_TRUE(memory.Learn("b", first));  // Heard 31 s ago.
}

}  // namespace zinnia
