#include <fmt/format.h>

#include <thread>

#include "tests/forwarding_path/forwarding_fixture.h"
#include "tests/forwarding_path/polling_caller.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/** Callers' connections that end, or whose limits change, beside requests that arrive or run. */
TEST_GROUP(CallerConnectionPath) {
  ForwardingFixture f;
  std::shared_ptr<ForwardingRules> rules = std::make_shared<ForwardingRules>(*f.view->rules);

  void setup() override {
    f.Script([](Connection& connection) {
      connection.Write(ForwardingFixture::Head("Content-Length: 2\r\n") + "ok");
    });
  }

  /** Puts a new configuration with these bounds in force. */
  void SetBounds(const CallerBounds& bounds) {
    rules = std::make_shared<ForwardingRules>(*rules);
    ++rules->version;
    rules->caller_bounds = bounds;
    const auto view = std::make_shared<ForwardingView>(*f.view);
    view->rules = rules;
    f.view = view;
    f.traffic->SetView(view);
  }

  static std::string Request(const std::string& fields = "", const std::string& body = "body") {
    return fmt::format(
        "POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Id: r-1\r\nX-Key: key-1\r\n"
        "X-Deadline: 60000\r\n{}Content-Length: {}\r\n\r\n{}",
        fields, body.size(), body);
  }

  void Run(milliseconds duration) {
    f.thread.Loop().restart();
    f.thread.Loop().run_for(duration);
  }

  bool HasAnswers(PollingCaller & caller, std::size_t answers) {
    return f.Until([&] {
      caller.Poll();
      return caller.HasEnded() || caller.Answers() >= answers;
    }) && caller.Answers() == answers;
  }

  /** Each request that was read whole has one answer; what was not read may end in a reset. */
  void CheckOneEnd(PollingCaller & caller, std::size_t sent) {
    CHECK_TRUE(f.Until([&] {
      caller.Poll();
      return caller.HasEnded() || caller.Answers() >= sent;
    }));
    CHECK_TRUE(caller.Answers() <= sent);
    CHECK_FALSE(caller.Answers() < sent && caller.HasEndedInOrder());
  }
};

// Guards against a connection that is closed for idleness though a request has just arrived.
TEST(CallerConnectionPath, ARequestThatArrivesAsItsConnectionIdlesOutHasOneEnd) {
  constexpr milliseconds kIdle{20};
  constexpr int kTries = 60;
  int sent_in_time = 0;
  CallerBounds bounds;
  bounds.idle_timeout = kIdle;
  SetBounds(bounds);
  for (int attempt = 0; attempt < kTries; ++attempt) {
    PollingCaller caller(f.traffic->Server().Port());
    caller.Send(Request());
    CHECK_TRUE(HasAnswers(caller, 1));
    Run(kIdle - milliseconds(2));
    caller.Poll();
    if (caller.HasEnded()) {
      continue;  // It idled out before the request was sent.
    }
    ++sent_in_time;
    std::this_thread::sleep_for(microseconds(100 * attempt));
    caller.Send(Request());
    std::this_thread::sleep_for(microseconds(100 * (kTries - attempt)));
    CheckOneEnd(caller, 2);
  }
  CHECK_TRUE(sent_in_time > kTries / 2);
}

// Guards against a process that was halted and ends a request that arrived meanwhile.
TEST(CallerConnectionPath, ARequestThatArrivesInTimeIsAnsweredThoughTheTimeoutHasPassedSince) {
  constexpr milliseconds kIdle{20};
  CallerBounds bounds;
  bounds.idle_timeout = kIdle;
  SetBounds(bounds);
  for (int attempt = 0; attempt < 20; ++attempt) {
    PollingCaller caller(f.traffic->Server().Port());
    caller.Send(Request());
    CHECK_TRUE(HasAnswers(caller, 1));
    caller.Send(Request());
    std::this_thread::sleep_for(2 * kIdle);
    CHECK_TRUE(HasAnswers(caller, 2));
  }
}

// Guards against a stop that takes a connection with a request that was just read for an idle one.
TEST(CallerConnectionPath, ARequestThatWasReadAsItsInstanceStopsAcceptingHasOneEnd) {
  constexpr int kMostSteps = 12;
  for (int steps = 0; steps < kMostSteps; ++steps) {
    const auto instance = f.MakeTraffic("stops");
    instance->SetView(f.view);
    PollingCaller caller(instance->Server().Port());
    caller.Send(Request());
    CHECK_TRUE(HasAnswers(caller, 1));
    Run(milliseconds(5));
    caller.Send(Request());
    f.thread.Loop().restart();
    for (int step = 0; step < steps; ++step) {
      f.thread.Loop().poll_one();
    }
    instance->Server().StopAccepting(std::chrono::minutes(2));
    CheckOneEnd(caller, 2);
  }
}

// The same for the first request of a connection.
TEST(CallerConnectionPath, AFirstRequestThatWasReadAsItsInstanceStopsAcceptingHasOneEnd) {
  constexpr int kMostSteps = 12;
  for (int steps = 0; steps < kMostSteps; ++steps) {
    const auto instance = f.MakeTraffic("stops");
    instance->SetView(f.view);
    PollingCaller caller(instance->Server().Port());
    Run(milliseconds(5));
    caller.Send(Request());
    f.thread.Loop().restart();
    for (int step = 0; step < steps; ++step) {
      f.thread.Loop().poll_one();
    }
    instance->Server().StopAccepting(std::chrono::minutes(2));
    CheckOneEnd(caller, 1);
  }
}

// Guards against a stop that ends while an answer waits for a caller who reads slowly.
TEST(CallerConnectionPath, AnAnswerThatIsNotYetSentIsInFlight) {
  constexpr std::size_t kMoreThanSocketsHold = 16'000'000;
  std::string body;
  body.resize(kMoreThanSocketsHold, 'x');
  f.Script([&](Connection& connection) {
    connection.Write(ForwardingFixture::Head(fmt::format("Content-Length: {}\r\n", body.size())));
    boost::asio::async_write(connection.socket, boost::asio::buffer(body),
                             [](boost::system::error_code, std::size_t) {});
  });
  PollingCaller caller(f.traffic->Server().Port(), 4'096);
  caller.Send(Request());
  CHECK_TRUE(f.Until([&] { return f.Arrivals() == 1; }));
  Run(milliseconds(300));
  f.traffic->Server().BeginDrain();
  f.traffic->Server().StopAccepting(std::chrono::minutes(2));
  CHECK_TRUE(f.traffic->Server().InFlight() > 0);
  CHECK_FALSE(f.traffic->Server().Describe().empty());
  CHECK_TRUE(f.Until([&] {
    caller.Poll();
    return caller.HasEnded();
  }));
  CHECK_TRUE(caller.received.size() > body.size());
  CHECK_EQUAL(0U, f.traffic->Server().InFlight());
  CHECK_TRUE(f.traffic->Server().Describe().empty());
}

TEST(CallerConnectionPath, AShorterHeaderTimeDoesNotEndAHeaderThatIsBeingRead) {
  PollingCaller caller(f.traffic->Server().Port());
  const std::string request = Request();
  caller.Send(request.substr(0, 40));
  Run(milliseconds(20));
  CallerBounds bounds;
  bounds.header_timeout = milliseconds(10);
  SetBounds(bounds);
  Run(milliseconds(40));
  caller.Send(request.substr(40));
  CHECK_TRUE(HasAnswers(caller, 1));
}

TEST(CallerConnectionPath, SmallerSizesDoNotEndARequestThatIsBeingRead) {
  PollingCaller caller(f.traffic->Server().Port());
  const std::string request =
      Request("X-Long: " + std::string(1'000, 'x') + "\r\n", std::string(10'000, 'x'));
  caller.Send(request.substr(0, 500));
  Run(milliseconds(20));
  CallerBounds bounds;
  bounds.most_header_bytes = 300;
  bounds.most_body_bytes = 1'000;
  SetBounds(bounds);
  Run(milliseconds(20));
  caller.Send(request.substr(500, 3'000));
  Run(milliseconds(20));
  caller.Send(request.substr(3'500));
  CHECK_TRUE(HasAnswers(caller, 1));
  CHECK_TRUE(caller.received.find("200 OK") != std::string::npos);
}

// Guards against a kept connection that holds requests to the sizes of the configuration before.
TEST(CallerConnectionPath, LargerSizesHoldOnAKeptConnection) {
  CallerBounds bounds;
  bounds.most_header_bytes = 1'000;
  bounds.most_body_bytes = 1'000;
  SetBounds(bounds);
  PollingCaller caller(f.traffic->Server().Port());
  caller.Send(Request());
  CHECK_TRUE(HasAnswers(caller, 1));
  SetBounds({});
  caller.Send(Request("X-Long: " + std::string(7'000, 'x') + "\r\n", std::string(30'000, 'x')));
  CHECK_TRUE(HasAnswers(caller, 2));
  CHECK_TRUE(caller.received.find("413") == std::string::npos);
}

// Guards against a request whose running time is measured by the limits of connections.
TEST(CallerConnectionPath, ShorterLimitsDoNotEndARequestThatRuns) {
  Connection* open = nullptr;
  f.Script([&](Connection& connection) { open = &connection; });
  PollingCaller caller(f.traffic->Server().Port());
  caller.Send(Request());
  CHECK_TRUE(f.Until([&] { return open != nullptr; }));
  CallerBounds bounds;
  bounds.idle_timeout = milliseconds(10);
  bounds.header_timeout = milliseconds(10);
  bounds.most_header_bytes = 100;
  bounds.most_body_bytes = 1;
  SetBounds(bounds);
  Run(milliseconds(60));
  open->Write(ForwardingFixture::Head("Content-Length: 2\r\n") + "ok");
  CHECK_TRUE(HasAnswers(caller, 1));
  CHECK_TRUE(caller.received.find("200 OK") != std::string::npos);
}

// Guards against a configuration whose longer idle time does not hold for connections that idle.
TEST(CallerConnectionPath, ALongerIdleTimeHoldsForAnIdleConnection) {
  CallerBounds bounds;
  bounds.idle_timeout = milliseconds(50);
  SetBounds(bounds);
  PollingCaller caller(f.traffic->Server().Port());
  caller.Send(Request());
  CHECK_TRUE(HasAnswers(caller, 1));
  Run(milliseconds(20));
  SetBounds({});
  Run(milliseconds(80));
  caller.Send(Request());
  CHECK_TRUE(HasAnswers(caller, 2));
}

}  // namespace zinnia
