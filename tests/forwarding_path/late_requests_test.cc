#include <fmt/format.h>

#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;

/** Requests that are read whole while their instance stops. */
TEST_GROUP(LateRequestPath) {
  ForwardingFixture f;

  void setup() override {
    f.Script([](RawServer::Connection& connection) {
      connection.Write(ForwardingFixture::Head("Content-Length: 2\r\n") + "ok");
    });
  }

  /** Sends all but the last byte. */
  TestCaller& Begin(milliseconds deadline) {
    f.callers.push_back(std::make_unique<TestCaller>(f.thread.Loop(), f.traffic->Server().Port()));
    f.callers.back()->Send(
        fmt::format("POST /once/x HTTP/1.1\r\nHost: h\r\nX-Id: r-1\r\nX-Key: key-1\r\n"
                    "X-Deadline: {}\r\nContent-Length: 4\r\n\r\nbod",
                    deadline.count()));
    CHECK_TRUE(f.Until([&] { return f.traffic->Server().InFlight() == 1; }));
    return *f.callers.back();
  }

  void CheckAnswer(const TestCaller& caller, const std::string& status, std::size_t arrivals) {
    CHECK_TRUE(f.Until([&] { return caller.IsClosed(); }));
    STRCMP_EQUAL(status.c_str(),
                 caller.Received().substr(0, caller.Received().find("\r\n")).c_str());
    CHECK_EQUAL(arrivals, f.Arrivals());
  }
};

// Guards against requests that are passed on although their instance ends before they may.
TEST(LateRequestPath, OnlyWhatMustEndInTimeIsPassedOn) {
  struct Case {
    milliseconds deadline;
    milliseconds time_left;
    bool is_served;
  };
  for (const Case& test : {Case{milliseconds(2'000), milliseconds(4'000), true},
                           Case{milliseconds(4'100), milliseconds(4'000), false},
                           Case{milliseconds(60'000), milliseconds(4'000), false}}) {
    const std::size_t before = f.Arrivals();
    TestCaller& caller = Begin(test.deadline);
    f.traffic->Server().StopAccepting(test.time_left);
    caller.Send("y");
    CheckAnswer(caller, test.is_served ? "HTTP/1.1 200 OK" : "HTTP/1.1 503 Service Unavailable",
                before + (test.is_served ? 1 : 0));
    f.traffic = f.MakeTraffic("self");
    f.traffic->SetView(f.view);
  }
}

// Guards against requests that are passed on behind the final answers, and cut with none.
TEST(LateRequestPath, WhatIsReadBehindTheFinalAnswersIsRefused) {
  TestCaller& caller = Begin(milliseconds(60'000));
  f.traffic->Server().StopAccepting(milliseconds(4'000));
  f.traffic->Server().AnswerRest();
  caller.Send("y");
  CheckAnswer(caller, "HTTP/1.1 503 Service Unavailable", 0);
}

// Guards against a request that is called perhaps run although it was still being connected.
TEST(LateRequestPath, WhatWasNotSentAtTheEndIsRefusedAsNotRun) {
  TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return f.metrics.Counter("requests_read") == 1; }));
  CHECK_EQUAL(0U, f.Arrivals());
  f.traffic->Server().BeginDrain();
  f.traffic->Server().AnswerRest();
  CheckAnswer(caller, "HTTP/1.1 503 Service Unavailable", 0);
}

}  // namespace zinnia
