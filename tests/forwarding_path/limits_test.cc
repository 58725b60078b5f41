#include <thread>

#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;
using std::chrono::milliseconds;

TEST_GROUP(ServerLimitPath) {
  ForwardingFixture f;

  static RawServer::Script Naming(const std::string& limit) {
    return [limit](Connection& connection) {
      connection.Write(ForwardingFixture::Head("X-Limit: " + limit + "\r\nContent-Length: 2\r\n") +
                       "ok");
    };
  }
  static void Plain(Connection & connection) {
    connection.Write(ForwardingFixture::Head("Content-Length: 2\r\n") + "ok");
  }

  void CallUntilServed(const std::string& path) {
    TestCaller& caller = f.Call(path);
    CHECK_TRUE(f.Until([&] { return caller.Has("ok") || caller.Has("503"); }));
  }

  /** Sends requests until both servers have reported their limits. */
  void ReceiveLimits() {
    for (int call = 0; call < 40 && (f.a.received.empty() || f.b.received.empty()); ++call) {
      CallUntilServed("/safe/x");
    }
  }
};

// Guards against ignoring the rate limit that a server reports.
TEST(ServerLimitPath, RequestsGoToTheOtherServer) {
  constexpr std::size_t kCalls = 200;
  f.a.scripts = {Naming("2")};
  f.b.scripts = {Plain};
  for (std::size_t call = 0; call < kCalls; ++call) {
    CallUntilServed("/safe/x");
    std::this_thread::sleep_for(milliseconds(20));
  }
  CHECK_TRUE(f.a.received.size() <= 17);  // 1.5 times 2 per second for 4 s, plus 5.
  CHECK_EQUAL(kCalls, f.Arrivals());
  CHECK_EQUAL(1U, f.limit_reports.size());
  DOUBLES_EQUAL(2.0, f.limit_reports.front().requests_per_second.value(), 1e-9);
}

// Guards against queueing or sending requests when every server is at its limit.
TEST(ServerLimitPath, WhenAllServersAreAtTheirLimitsRequestsAreRejectedWithRetryAfter) {
  f.Script(Naming("0.2"));
  ReceiveLimits();
  const std::size_t arrivals = f.Arrivals();
  TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("503"); }));
  CHECK_TRUE(caller.Has("Retry-After: "));
  CHECK_EQUAL(arrivals, f.Arrivals());
}

// Guards against ignoring a limit reported by a peer.
TEST(ServerLimitPath, ALimitReportedByAPeerIsApplied) {
  f.Script(Plain);
  f.traffic->OnPeerServerLimits({{"a", 0.2, milliseconds(20)}, {"gone", 0.2, milliseconds(20)}});
  for (int call = 0; call < 20; ++call) {
    CallUntilServed("/safe/x");
  }
  CHECK_EQUAL(0U, f.a.received.size());
  CHECK_EQUAL(20U, f.b.received.size());
}

// Guards against keeping a limit that the server no longer reports.
TEST(ServerLimitPath, AnAnswerWithoutALimitRemovesIt) {
  f.a.scripts = {Naming("1000"), Plain};
  f.b.scripts = {Plain};
  for (int call = 0; call < 20 && f.a.received.empty(); ++call) {
    CallUntilServed("/safe/x");
  }
  CHECK_EQUAL(1U, f.limit_reports.size());
  CHECK_TRUE(f.limit_reports.front().requests_per_second.has_value());
  for (int call = 0; call < 400 && f.a.received.size() < 2; ++call) {
    CallUntilServed("/safe/x");
    std::this_thread::sleep_for(milliseconds(5));
  }
  CHECK_FALSE(f.limit_reports.front().requests_per_second.has_value());
}

}  // namespace zinnia
