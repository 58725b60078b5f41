#include "zinnia_adapters/threads/control_thread.h"

#include <thread>
#include <vector>

#include "adapters/control_fakes.h"
#include "zinnia_base/time/system_clock.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

constexpr int kPosters = 4;
constexpr int kCallsOfEach = 5'000;

}  // namespace

TEST_GROUP(ControlThread) {
  std::unique_ptr<ControlThread> Start(const Clock& clock) {
    auto thread = ControlThread::Start(clock, m_metrics, m_logger, [](ControlThread&) {});
    return std::move(thread).value();
  }

  CountingMetrics m_metrics;
  EventLogger m_logger;
  SystemClock m_system_clock;
};

TEST(ControlThread, RunsTheCallsOfEachPosterInOrder) {
  auto thread = Start(m_system_clock);
  std::vector<int> last(kPosters, -1);
  bool in_order = true;
  std::vector<std::thread> posters;
  posters.reserve(kPosters);
  for (int poster = 0; poster < kPosters; ++poster) {
    posters.emplace_back([&, poster] {
      for (int call = 0; call < kCallsOfEach; ++call) {
        thread->Post([&, poster, call] {
          in_order = in_order && last[poster] == call - 1;
          last[poster] = call;
        });
      }
    });
  }
  for (auto& poster : posters) {
    poster.join();
  }
  thread->Stop(nullptr);
  CHECK(in_order);
  for (const int number : last) {
    LONGS_EQUAL(kCallsOfEach - 1, number);
  }
}

TEST(ControlThread, RunsTimersInTheOrderOfTheirTimes) {
  auto thread = Start(m_system_clock);
  std::vector<int> order;
  std::promise<void> done;
  std::vector<std::unique_ptr<ScheduledCall>> calls;
  RunOn(*thread, [&] {
    calls.push_back(thread->ScheduleAfter(std::chrono::milliseconds(20), [&] {
      order.push_back(3);
      done.set_value();
    }));
    calls.push_back(
        thread->ScheduleAfter(std::chrono::milliseconds(1), [&] { order.push_back(2); }));
    calls.push_back(thread->ScheduleAfter(Duration::zero(), [&] { order.push_back(1); }));
  });
  Await(done.get_future());
  thread->Stop([&] { calls.clear(); });
  CHECK((order == std::vector<int>{1, 2, 3}));
}

TEST(ControlThread, ACancelledTimerNeverRuns) {
  auto thread = Start(m_system_clock);
  bool ran = false;
  RunOn(*thread, [&] {
    auto call = thread->ScheduleAfter(Duration::zero(), [&] { ran = true; });
    call.reset();
  });
  RunOn(*thread, [] {});
  thread->Stop(nullptr);
  CHECK_FALSE(ran);
}

// Symptom: the process aborts with "promise callback destroyed itself". Events: a repeating timer
// stores the next ScheduledCall over the one whose call is just running. Cause: the call's own
// promise is destroyed from inside its continuation.
TEST(ControlThread, ATimerMayReplaceItselfFromItsOwnCall) {
  auto thread = Start(m_system_clock);
  constexpr int kRounds = 5;
  int rounds = 0;
  std::promise<void> done;
  std::unique_ptr<ScheduledCall> timer;
  std::function<void()> again = [&] {
    if (++rounds == kRounds) {
      done.set_value();
      return;
    }
    timer = thread->ScheduleAfter(Duration::zero(), again);
  };
  RunOn(*thread, [&] { timer = thread->ScheduleAfter(Duration::zero(), again); });
  Await(done.get_future());
  thread->Stop([&] { timer.reset(); });
  LONGS_EQUAL(kRounds, rounds);
}

// Symptom: peers suspect an instance that runs, and nothing in its metrics says why. Events: a call
// holds the control thread for 1.5 s while another waits behind it. Cause: nobody measures how long
// calls wait.
TEST(ControlThread, ReportsHowLongACallWaited) {
  ManualClock clock;
  auto thread = Start(clock);
  RunOn(*thread, [&] {
    thread->Post([&] { clock.AdvanceBy(std::chrono::milliseconds(1'500)); });
    thread->Post([] {});
  });
  RunOn(*thread, [] {});  // Both have run now, and the report's timer is due.
  std::unique_ptr<ScheduledCall> later;
  std::promise<void> reported;
  RunOn(*thread,
        [&] { later = thread->ScheduleAfter(Duration::zero(), [&] { reported.set_value(); }); });
  Await(reported.get_future());
  thread->Stop([&] { later.reset(); });
  DOUBLES_EQUAL(1'500.0, m_metrics.HighestGauge("control_thread_lag_ms"), 0.001);
}

TEST(ControlThread, StopRunsWhatWasPostedBefore) {
  auto thread = Start(m_system_clock);
  constexpr int kCalls = 1'000;
  int ran = 0;
  int ran_at_tear_down = 0;
  for (int call = 0; call < kCalls; ++call) {
    thread->Post([&] { ++ran; });
  }
  thread->Stop([&] { ran_at_tear_down = ran; });
  LONGS_EQUAL(kCalls, ran_at_tear_down);
}

// Symptom: all sessions of an instance end at once. Events: one posted call throws. Cause: an
// exception that leaves a thread's function ends the process.
TEST(ControlThread, ACallThatThrowsIsCountedAndTheThreadGoesOn) {
  auto thread = Start(m_system_clock);
  thread->Post([] { throw ErrorException(MakeError(ErrorKind::kInternal, "a fault")); });
  RunOn(*thread, [] {});
  thread->Stop(nullptr);
  LONGS_EQUAL(1, m_metrics.Counter("control_thread_failures"));
  LONGS_EQUAL(1, m_logger.Count("control_thread_failure"));
}

TEST(ControlThread, AFailedSetUpIsTheResult) {
  const auto thread = ControlThread::Start(m_system_clock, m_metrics, m_logger, [](ControlThread&) {
    throw ErrorException(MakeError(ErrorKind::kInvalidSettings, "no such address"));
  });
  CHECK(thread.has_error());
  CHECK(thread.error().kind == ErrorKind::kInvalidSettings);
}

}  // namespace zinnia
