#include <algorithm>

#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;

/** Steps on the traffic thread that throw an exception. */
TEST_GROUP(TrafficFailurePath) {
  ForwardingFixture f;
  int requests = 0;

  void setup() override {
    f.Script([](Connection& connection) {
      const bool throws = connection.request["X-Step"] == "answer";
      connection.Write(ForwardingFixture::Head(std::string(throws ? "X-Throw: answer\r\n" : "") +
                                               "Content-Length: 2\r\n") +
                       "ok");
    });
  }

  /** Targets differ, so that no request is taken for one that crashes servers. */
  TestCaller& Send(const std::string& prefix, const std::string& fields = "") {
    f.callers.push_back(std::make_unique<TestCaller>(f.thread.Loop(), f.traffic->Server().Port()));
    f.callers.back()->Send(
        fmt::format("GET {}{} HTTP/1.1\r\nHost: h\r\nX-Id: r-1\r\nX-Key: key-1\r\n{}\r\n", prefix,
                    ++requests, fields));
    return *f.callers.back();
  }

  std::string StatusOf(const TestCaller& caller) {
    CHECK_TRUE(f.Until([&] { return caller.Has("\r\n\r\n") || caller.IsClosed(); }));
    return caller.Received().substr(0, caller.Received().find("\r\n"));
  }

  std::ptrdiff_t FailuresLogged() const {
    return std::count(f.logger.events.begin(), f.logger.events.end(), "traffic_failure");
  }
};

// Guards against a process that ends, and with it the requests of all others, by an exception in
// the handling of one; and against places at servers that such a request never gives back.
TEST(TrafficFailurePath, ARequestWhoseHandlingThrowsEndsAlone) {
  struct Case {
    const char* path;
    const char* fields;
    const char* status;
  };
  const Case cases[] = {
      {"/safe/", "X-Throw: read\r\n", "HTTP/1.1 500 Internal Server Error"},
      {"/once/", "X-Throw: mark\r\n", "HTTP/1.1 500 Internal Server Error"},
      {"/safe/", "X-Step: answer\r\n", "HTTP/1.1 502 Bad Gateway"},
      {"/once/", "X-Step: answer\r\n", "HTTP/1.1 502 Bad Gateway"},
      {"/events/", "X-Step: answer\r\n", "HTTP/1.1 502 Bad Gateway"},
  };
  constexpr int kRounds = 200;
  int thrown = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (const Case& test : cases) {
      STRCMP_EQUAL(test.status, StatusOf(Send(test.path, test.fields)).c_str());
      ++thrown;
    }
    STRCMP_EQUAL("HTTP/1.1 200 OK", StatusOf(Send("/once/")).c_str());
    f.callers.clear();
  }
  LONGS_EQUAL(thrown, FailuresLogged());
  LONGS_EQUAL(thrown, f.metrics.Counter("traffic_failures"));
  CHECK_TRUE(f.Until([&] { return f.traffic->Server().InFlight() == 0; }));
}

// Guards against an exception in a step that goes through all requests, which leaves out those
// behind the one that throws.
TEST(TrafficFailurePath, ARequestThatThrowsAsTheConfigurationArrivesEndsAlone) {
  const auto view = f.view;
  const auto without_rules = std::make_shared<ForwardingView>(*view);
  without_rules->rules = nullptr;
  const auto instance = f.MakeTraffic("waits");
  instance->SetView(without_rules);
  std::vector<TestCaller*> callers;
  for (const std::string fields : {"", "X-Throw: mark\r\n", "", "X-Throw: mark\r\n", ""}) {
    f.callers.push_back(std::make_unique<TestCaller>(f.thread.Loop(), instance->Server().Port()));
    callers.push_back(f.callers.back().get());
    callers.back()->Send("GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Id: r-1\r\nX-Key: key-1\r\n" +
                         fields + "\r\n");
  }
  CHECK_TRUE(f.Until([&] { return f.metrics.Counter("requests_read") == 5; }));
  instance->SetView(view);
  for (std::size_t number = 0; number < callers.size(); ++number) {
    STRCMP_EQUAL(number % 2 == 0 ? "HTTP/1.1 200 OK" : "HTTP/1.1 502 Bad Gateway",
                 StatusOf(*callers[number]).c_str());
  }
  LONGS_EQUAL(2, FailuresLogged());
}

}  // namespace zinnia
