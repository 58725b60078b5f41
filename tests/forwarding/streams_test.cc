#include <chrono>
#include <vector>

#include "zinnia_base/time/virtual_time.h"
#include "zinnia_decisions/forwarding/streams/streams.h"
#include "zinnia_world/forwarding/forward_route.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;

TEST_GROUP(Streams) {
  VirtualTime time;
  RandomSource random{1};
  DepartureSchedule schedule{random, milliseconds(3'000)};

  milliseconds MoveAfter(Duration expected_remaining) {
    return std::chrono::duration_cast<milliseconds>(
        schedule.MoveAt(time.Now(), expected_remaining) - time.Now());
  }
};

TEST(Streams, EstimatesRemainingTimeFromMeanInterval) {
  EventIntervalTracker intervals;
  CHECK_FALSE(intervals.HasBegun());
  for (int event = 0; event < 11; ++event) {
    intervals.OnEvent(time.Now());
    time.AdvanceBy(milliseconds(30));
  }
  CHECK_TRUE(intervals.MeanInterval() == milliseconds(30));
  CHECK_TRUE(intervals.LongestInterval() == milliseconds(30));
  CHECK_TRUE(intervals.ExpectedRemaining(31) == milliseconds(600));
  // The estimate may be too low, so more events are expected.
  CHECK_TRUE(intervals.ExpectedRemaining(5) > milliseconds(100));
}

TEST(Streams, ComparesIntervalWithMeanOfSameStream) {
  EventIntervalTracker slow;
  for (int event = 0; event < 10; ++event) {
    slow.OnEvent(time.Now());
    time.AdvanceBy(milliseconds(160));
  }
  slow.OnEvent(time.Now());
  CHECK_FALSE(slow.IsLastIntervalUnusual(milliseconds(150)));
  time.AdvanceBy(milliseconds(400));
  slow.OnEvent(time.Now());
  CHECK_TRUE(slow.IsLastIntervalUnusual(milliseconds(150)));
  CHECK_FALSE(slow.IsLastIntervalUnusual(milliseconds(500)));
}

// With one limit for all routes, engines of slow routes would be probed needlessly and silent
// engines of fast routes abandoned too late.
TEST(Streams, SilenceTimeoutsFollowRouteObjectives) {
  ForwardRoute fast_route;
  fast_route.latency_objective = milliseconds(300);
  fast_route.event_gap_objective = milliseconds(150);
  ForwardRoute slow_route;
  slow_route.latency_objective = milliseconds(600);
  slow_route.event_gap_objective = milliseconds(300);
  for (const bool has_begun : {false, true}) {
    CHECK_TRUE(SilencePolicy(fast_route).ProbeAfter(has_begun) <
               SilencePolicy(slow_route).ProbeAfter(has_begun));
    CHECK_TRUE(SilencePolicy(fast_route).AbandonAfter(has_begun) <
               SilencePolicy(slow_route).AbandonAfter(has_begun));
  }
  // Callers disconnect after two seconds, also on routes without an objective.
  ForwardRoute no_objective;
  no_objective.latency_objective = std::chrono::minutes(1);
  CHECK_TRUE(SilencePolicy(no_objective).AbandonAfter(false) < std::chrono::seconds(1));
  no_objective.event_gap_objective = milliseconds(0);
  CHECK_TRUE(SilencePolicy(no_objective).AbandonAfter(true) > milliseconds(500));
}

// Guards against all streams moving at the moment in which a server announces its shutdown,
// although most would end before it. Each needless move pauses an answer for up to half a second.
TEST(Streams, StreamsThatEndBeforeShutdownRarelyMove) {
  constexpr int kStreams = 500;
  int moved = 0;
  for (int stream = 0; stream < kStreams; ++stream) {
    const milliseconds remaining(4 * stream);  // Up to 2 s.
    moved += MoveAfter(remaining) < remaining ? 1 : 0;
  }
  CHECK_TRUE(moved <= kStreams / 8);
}

// Simulates a planned replacement: a substitute runs the prefills of all streams sequentially, 10
// ms each. Without spreading, the last stream would wait for 2 s.
TEST(Streams, LongStreamsSpreadMovesBeforeShutdown) {
  constexpr int kStreams = 200;
  constexpr int kPrefillMs = 10;
  std::vector<int> arrivals_by_ms(3'000, 0);
  for (int stream = 0; stream < kStreams; ++stream) {
    const milliseconds at = MoveAfter(std::chrono::minutes(1));
    CHECK_TRUE(at >= milliseconds(0) && at <= milliseconds(2'400));
    ++arrivals_by_ms[static_cast<std::size_t>(at.count())];
  }
  int backlog_ms = 0;
  int longest_ms = 0;
  for (const int arrivals : arrivals_by_ms) {
    backlog_ms = std::max(0, backlog_ms + arrivals * kPrefillMs - 1);
    longest_ms = std::max(longest_ms, backlog_ms);
  }
  CHECK_TRUE(longest_ms < 250);
}

}  // namespace zinnia
