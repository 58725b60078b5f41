#include <fmt/format.h>

#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;
using std::chrono::milliseconds;

/** Streams whose first server is silent for a second and then goes on. Engine "x1" is the fixture's
    server a and is chosen first, "y1" its server b. */
TEST_GROUP(SilentServerPath) {
  static constexpr milliseconds kGapObjective{100};
  static constexpr milliseconds kLatencyObjective{150};

  /** Longer than all limits of silence; callers leave after two seconds. */
  static constexpr milliseconds kSilence{1'000};

  ForwardingFixture f;
  Connection* at_first = nullptr;
  Connection* at_second = nullptr;

  void setup() override {
    f.SetChains();
    const auto rules = std::make_shared<ForwardingRules>(*f.view->rules);
    for (ForwardRoute& route : rules->routes) {
      route.event_gap_objective = kGapObjective;
      route.latency_objective = kLatencyObjective;
    }
    ForwardingFixture::AddRoute(*rules, "/unresumable/", Repeatability::kStream, false);
    rules->routes.back().services = {{"pool", 1}};
    rules->routes.back().latency_objective = kLatencyObjective;
    SetRules(rules);
    f.calls.report = MakeError(ErrorKind::kBackendTimeout, "no report");
    f.a.scripts = {[this](Connection& connection) {
      at_first = &connection;
      Write(connection, HeadAndEvent(1));
    }};
    f.b.scripts = {[this](Connection& connection) { at_second = &connection; }};
  }

  void SetRules(const std::shared_ptr<ForwardingRules>& rules) {
    const auto view = std::make_shared<ForwardingView>(*f.view);
    view->rules = rules;
    view->routes = std::make_shared<RouteTable>(*rules);
    SetView(view);
  }

  void SetView(const std::shared_ptr<ForwardingView>& view) {
    f.view = view;
    f.traffic->SetView(view);
  }

  void RemoveSecondPath() {
    const auto view = std::make_shared<ForwardingView>(*f.view);
    view->servers.erase("y1");
    view->servers.erase("y2");
    SetView(view);
  }

  /** An instance that has just started has saved no retries. */
  void ReplaceByInstanceWithoutRetries() {
    f.traffic.reset();
    f.traffic = f.MakeTraffic("young");
    f.traffic->SetView(f.view);
  }

  static void Write(Connection & connection, const std::string& bytes) {
    connection.Write(bytes);
  }
  static std::string HeadAndEvent(int id) {
    return ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") + EventChunk(id);
  }
  static std::string EventChunk(int id) {
    return ForwardingFixture::Chunk(ForwardingFixture::Event(id));
  }
  static std::string LastEvent(int id) {
    return EventChunk(id) + "0\r\n\r\n";
  }

  void Wait(milliseconds duration) {
    const TimePoint end = f.clock.Now() + duration;
    CHECK_TRUE(f.Until([&] { return f.clock.Now() >= end; }));
  }

  TestCaller& Begin() {
    TestCaller& caller = f.Call("/events/x");
    CHECK_TRUE(f.Until([&] { return caller.Has("data: e1"); }));
    return caller;
  }

  bool IsWhole(const TestCaller& caller) {
    return f.Until([&] { return caller.IsClosed() || caller.Has("\r\n0\r\n\r\n"); }) &&
           caller.Has("\r\n0\r\n\r\n");
  }

  /** Each of the events from the first to `last` arrived once, in order. */
  static void CheckEvents(const TestCaller& caller, int last) {
    std::string events;
    for (int id = 1; id <= last; ++id) {
      events += EventChunk(id);
    }
    CHECK_TRUE(caller.Has("\r\n\r\n" + events + "0\r\n\r\n"));
  }

  void CheckGoesOnAtTheFirst(const TestCaller& caller) {
    Wait(kSilence);
    CHECK_FALSE(caller.IsClosed());
    CHECK_FALSE(f.a.other_side_closed);
    if (!f.a.other_side_closed) {
      at_first->Write(LastEvent(2));
    }
    CHECK_TRUE(IsWhole(caller));
    CheckEvents(caller, 2);
  }
};

// Guards against a stream that is cut off for a silence, since no retry is left to move it.
TEST(SilentServerPath, AStreamThatMayNotBeSentAgainKeepsItsServer) {
  ReplaceByInstanceWithoutRetries();
  CheckGoesOnAtTheFirst(Begin());
}

// The same when a peer has seen the silence.
TEST(SilentServerPath, AStallThatAPeerReportsDoesNotEndIt) {
  ReplaceByInstanceWithoutRetries();
  const TestCaller& caller = Begin();
  Wait(milliseconds(60));
  f.traffic->OnPeerStalls({StallReport{"x1", milliseconds(0)}});
  CheckGoesOnAtTheFirst(caller);
}

// The same when there is no other server.
TEST(SilentServerPath, AStreamWithoutAnotherServerKeepsItsServer) {
  RemoveSecondPath();
  CheckGoesOnAtTheFirst(Begin());
}

// The same for the last server that the route allows.
TEST(SilentServerPath, AStreamAtItsLastServerKeepsIt) {
  f.b.scripts = {[this](Connection& connection) {
    at_second = &connection;
    connection.Write(HeadAndEvent(2));
  }};
  const TestCaller& caller = Begin();
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e2"); }));
  Wait(kSilence);
  CHECK_FALSE(caller.IsClosed());
  CHECK_FALSE(f.b.other_side_closed);
  if (!f.b.other_side_closed) {
    at_second->Write(LastEvent(3));
  }
  CHECK_TRUE(IsWhole(caller));
  CheckEvents(caller, 3);
}

// Guards against a failure for a request that has not begun and may not be sent again.
TEST(SilentServerPath, ARequestThatHasNotBegunKeepsItsServer) {
  f.a.scripts = {[this](Connection& connection) { at_first = &connection; }};
  const TestCaller& caller = f.Call("/unresumable/x");
  Wait(kSilence);
  CHECK_FALSE(caller.Has("HTTP"));
  CHECK_FALSE(f.a.other_side_closed);
  if (!f.a.other_side_closed) {
    at_first->Write(HeadAndEvent(1));
    CHECK_TRUE(f.Until([&] { return caller.Has("data: e1"); }));
    at_first->Write(LastEvent(2));
  }
  CHECK_TRUE(IsWhole(caller));
  CheckEvents(caller, 2);
}

// Guards against letting go of a server for another one that does not answer.
TEST(SilentServerPath, IfTheOtherServerRefusesItGoesOnAtTheFirst) {
  f.b.Crash();
  CheckGoesOnAtTheFirst(Begin());
}

TEST(SilentServerPath, IfTheOtherServerBreaksOffItGoesOnAtTheFirst) {
  f.b.scripts = {[](Connection& connection) { connection.Close(); }};
  CheckGoesOnAtTheFirst(Begin());
}

TEST(SilentServerPath, IfTheOtherServerHasNoRoomItGoesOnAtTheFirst) {
  f.b.scripts = {[](Connection& connection) {
    connection.Write("HTTP/1.1 503 Full\r\nX-Id: r-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  }};
  CheckGoesOnAtTheFirst(Begin());
}

// Guards against a stream that ends although the first server goes on before the other one begins.
TEST(SilentServerPath, IfTheFirstServerGoesOnSoonerItKeepsTheStream) {
  const TestCaller& caller = Begin();
  CHECK_TRUE(f.Until([&] { return at_second != nullptr; }));
  CheckGoesOnAtTheFirst(caller);
  CHECK_TRUE(f.Until([&] { return f.b.other_side_closed; }));
}

// Guards against a dead server that is kept: it is left as soon as another one goes on.
TEST(SilentServerPath, AStreamLeavesADeadServerWhenAnotherGoesOn) {
  constexpr milliseconds kSoon{700};
  f.b.scripts = {[](Connection& connection) {
    connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") + LastEvent(2));
  }};
  const TestCaller& caller = Begin();
  const TimePoint silent_since = f.clock.Now();
  CHECK_TRUE(IsWhole(caller));
  CHECK_TRUE(f.clock.Now() - silent_since < kSoon);
  CheckEvents(caller, 2);
  CHECK_TRUE(f.Until([&] { return f.a.other_side_closed; }));
}

// The same for a stall of a later server of the path: the first one may go on.
TEST(SilentServerPath, IfAServerOfThePathGoesOnTheStreamReturnsToIt) {
  EngineReport report;
  report.stalled.push_back({"r-1", f.view->servers.at("x2").address});
  f.calls.report = report;
  const TestCaller& caller = Begin();
  CHECK_TRUE(f.Until([&] { return at_second != nullptr; }));
  Wait(kSilence);
  CHECK_FALSE(caller.IsClosed());
  at_first->Write(LastEvent(2));
  CHECK_TRUE(IsWhole(caller));
  CheckEvents(caller, 2);
}

// Guards against news of a dead server that ends requests which pass it.
TEST(SilentServerPath, AStreamLeavesAPathWithADeadServer) {
  f.b.scripts = {[](Connection& connection) {
    connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") + LastEvent(2));
  }};
  const TestCaller& caller = Begin();
  Wait(milliseconds(60));
  f.traffic->OnPeerStalls({StallReport{"x2", milliseconds(0)}});
  CHECK_TRUE(IsWhole(caller));
  CheckEvents(caller, 2);
}

// Guards against events of both servers, if the first one goes on once the other has taken over.
TEST(SilentServerPath, TheFirstServerIsNotHeardOnceTheOtherHasBegun) {
  f.b.scripts = {[this](Connection& connection) {
    at_second = &connection;
    connection.Write(HeadAndEvent(2));
  }};
  const TestCaller& caller = Begin();
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e2"); }));
  CHECK_TRUE(f.Until([&] { return f.a.other_side_closed; }));
  at_second->Write(LastEvent(3));
  CHECK_TRUE(IsWhole(caller));
  CheckEvents(caller, 3);
}

}  // namespace zinnia
