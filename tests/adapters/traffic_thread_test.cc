#include "zinnia_adapters/threads/traffic_thread.h"

#include <stdexcept>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace zinnia {

TEST_GROUP(TrafficThreadFailures){};

// Guards against a process that ends by an exception of one handler, and against a loop that ends.
TEST(TrafficThreadFailures, ThreadGoesOnAfterACallThatThrows) {
  std::vector<std::string> reasons;
  TrafficThread thread([&](std::string_view reason) { reasons.emplace_back(reason); });
  thread.Start();
  for (int call = 0; call < 3; ++call) {
    thread.Post([] { throw std::runtime_error("thrown by the test"); });
  }
  bool has_run = false;
  thread.RunAndWait([&] { has_run = true; });
  thread.Stop();
  CHECK_TRUE(has_run);
  LONGS_EQUAL(3, reasons.size());
  STRCMP_EQUAL("thrown by the test", reasons.front().c_str());
}

// Guards against a start-up that waits forever for a call that has thrown.
TEST(TrafficThreadFailures, RunAndWaitThrowsWhatTheCallThrows) {
  TrafficThread thread;
  thread.Start();
  CHECK_THROWS(std::runtime_error, thread.RunAndWait([] { throw std::runtime_error("thrown"); }));
  thread.Stop();
}

}  // namespace zinnia
