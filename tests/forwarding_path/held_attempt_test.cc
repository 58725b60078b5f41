#include <fmt/format.h>

#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;
using std::chrono::milliseconds;

/** Nobody takes up connections here, so that connecting lasts until its limit. */
struct FullListener {
  explicit FullListener(boost::asio::io_context& loop) : acceptor(loop) {
    acceptor.open(boost::asio::ip::tcp::v4());
    acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    acceptor.listen(0);
    for (int i = 0; i < 4; ++i) {
      fillers.emplace_back(loop);
      fillers.back().async_connect(acceptor.local_endpoint(), [](boost::system::error_code) {});
    }
  }
  NetworkAddress Address() const { return {"127.0.0.1", acceptor.local_endpoint().port()}; }
  boost::asio::ip::tcp::acceptor acceptor;
  std::deque<boost::asio::ip::tcp::socket> fillers;
};

/** Sequences around an attempt that is held while another server is tried. */
TEST_GROUP(HeldAttemptPath) {
  static constexpr milliseconds kGapObjective{100};
  static constexpr milliseconds kLatencyObjective{150};

  ForwardingFixture f;
  RawServer c{f.thread.Loop()};
  Connection* at_first = nullptr;
  Connection* at_second = nullptr;

  void setup() override {
    f.SetChains();
    SetMostServers(2);
    f.calls.report = MakeError(ErrorKind::kBackendTimeout, "no report");
    f.a.scripts = {[this](Connection& connection) {
      at_first = &connection;
      connection.Write(HeadAndEvent(1));
    }};
    f.b.scripts = {[this](Connection& connection) { at_second = &connection; }};
    c.scripts = {[](Connection& connection) { connection.Close(); }};
  }

  void SetMostServers(std::uint32_t most) {
    const auto rules = std::make_shared<ForwardingRules>(*f.view->rules);
    for (ForwardRoute& route : rules->routes) {
      route.event_gap_objective = kGapObjective;
      route.latency_objective = kLatencyObjective;
      route.most_servers = most;
    }
    const auto view = std::make_shared<ForwardingView>(*f.view);
    view->rules = rules;
    view->routes = std::make_shared<RouteTable>(*rules);
    SetView(view);
  }
  void SetView(const std::shared_ptr<ForwardingView>& view) {
    f.view = view;
    f.traffic->SetView(view);
  }
  void AddServer(const std::string& name, const std::string& domain, LayerRange layers,
                 const RawServer* server) {
    const auto view = std::make_shared<ForwardingView>(*f.view);
    view->servers[name] = EngineServer(name, "fast", domain, layers);
    if (server != nullptr) {
      view->servers[name].address = server->Address();
    }
    SetView(view);
  }
  void Drain(const std::string& name) {
    const auto view = std::make_shared<ForwardingView>(*f.view);
    view->servers.at(name).draining = true;
    SetView(view);
  }

  static std::string EventChunk(int id) {
    return ForwardingFixture::Chunk(ForwardingFixture::Event(id));
  }
  static std::string HeadAndEvent(int id) {
    return ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") + EventChunk(id);
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
    return f.Until([&] {
      return caller.IsClosed() || caller.Has("\r\n0\r\n\r\n") || caller.Has("HTTP/1.1 50");
    }) && caller.Has("\r\n0\r\n\r\n");
  }
  static void WriteIfOpen(Connection * connection, const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(connection->socket, boost::asio::buffer(bytes), ignored);
  }
  bool Logged(const std::string& event) const {
    return std::find(f.logger.events.begin(), f.logger.events.end(), event) !=
           f.logger.events.end();
  }

  /** The first one, silent so far, says something of no use; the other one would answer. */
  void CheckSecondAnswers(const std::string& word_of_first) {
    f.a.scripts = {[this](Connection& connection) { at_first = &connection; }};
    const TestCaller& caller = f.Call("/events/x");
    CHECK_TRUE(f.Until([&] { return at_second != nullptr; }));
    at_first->Write(word_of_first);
    Wait(milliseconds(100));
    CHECK_FALSE(caller.Has("HTTP/1.1 50"));
    if (!f.b.other_side_closed) {
      at_second->Write(HeadAndEvent(1) + EventChunk(2) + "0\r\n\r\n");
    }
    CHECK_TRUE(IsWhole(caller));
  }

  void CheckUnreachedSecondIsNotCounted() {
    FullListener full(f.thread.Loop());
    const auto view = std::make_shared<ForwardingView>(*f.view);
    view->servers.at("y1").address = full.Address();
    SetView(view);
    c.scripts = {[](Connection& connection) { connection.Write(HeadAndEvent(3) + "0\r\n\r\n"); }};
    const TestCaller& caller = Begin();
    const auto sent = [&] {
      return std::count(f.logger.events.begin(), f.logger.events.end(), "request_sent");
    };
    CHECK_TRUE(f.Until([&] { return sent() == 2; }));
    at_first->Write(EventChunk(2));
    CHECK_TRUE(f.Until([&] { return caller.Has("data: e2"); }));
    CHECK_TRUE(Logged("request_returned"));
    AddServer("z1", "z", {0, 40}, &c);
    AddServer("z2", "z", {40, 80}, nullptr);
    f.a.Crash();
    CHECK_TRUE(IsWhole(caller));
    CHECK_EQUAL(1U, c.received.size());
  }

  void CheckUnreachedHeldIsNotCounted() {
    FullListener full(f.thread.Loop());
    const auto view = std::make_shared<ForwardingView>(*f.view);
    view->servers.at("x1").address = full.Address();
    SetView(view);
    c.scripts = {[](Connection& connection) { connection.Write(HeadAndEvent(1) + "0\r\n\r\n"); }};
    const TestCaller& caller = f.Call("/events/x");
    Wait(milliseconds(60));
    f.traffic->OnPeerStalls({StallReport{"x1", milliseconds(0)}});
    CHECK_TRUE(f.Until([&] { return at_second != nullptr; }));
    Wait(milliseconds(300));
    AddServer("z1", "z", {0, 40}, &c);
    AddServer("z2", "z", {40, 80}, nullptr);
    at_second->Close();
    CHECK_TRUE(IsWhole(caller));
    CHECK_EQUAL(1U, c.received.size());
  }
};

// Guards against closing a sound server since the held one refuses.
TEST(HeldAttemptPath, ARefusalOfTheFirstKeepsTheSecond) {
  CheckSecondAnswers("HTTP/1.1 503 Full\r\nX-Id: r-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
}

// The same if the held one fails.
TEST(HeldAttemptPath, AFailureOfTheFirstKeepsTheSecond) {
  CheckSecondAnswers("HTTP/1.1 500 Failed\r\nX-Id: r-1\r\nContent-Length: 0\r\n\r\n");
}

// The same if the held one ends within an event.
TEST(HeldAttemptPath, PartOfAnEventOfADyingFirstKeepsTheSecond) {
  const TestCaller& caller = Begin();
  CHECK_TRUE(f.Until([&] { return at_second != nullptr; }));
  at_first->Write(ForwardingFixture::Chunk("id: 2\nda"));
  Wait(milliseconds(20));
  f.a.Crash();
  Wait(milliseconds(100));
  CHECK_FALSE(caller.IsClosed());
  WriteIfOpen(at_second, HeadAndEvent(2) + "0\r\n\r\n");
  CHECK_TRUE(IsWhole(caller));
}

// Control: a connection that just ends leaves the second.
TEST(HeldAttemptPath, TheEndOfTheFirstKeepsTheSecond) {
  const TestCaller& caller = Begin();
  CHECK_TRUE(f.Until([&] { return at_second != nullptr; }));
  f.a.Crash();
  Wait(milliseconds(100));
  WriteIfOpen(at_second, HeadAndEvent(2) + "0\r\n\r\n");
  CHECK_TRUE(IsWhole(caller));
}

// Guards against cutting off a begun stream for news that concerns requests which have not begun.
TEST(HeldAttemptPath, NewsOfAQuarantineDoesNotCutOffAStreamThatRunsAtTheHeldServer) {
  const TestCaller& caller = Begin();
  CHECK_TRUE(f.Until([&] { return at_second != nullptr; }));
  std::string text;
  for (const std::string part : {"POST", "/events/x", "h", "key-1"}) {
    text += part;
    text.push_back('\0');
  }
  const Fingerprint request = Fingerprint::Of(text + Fingerprint::Of("body").ToHex());
  f.traffic->OnPeerQuarantines({{request, milliseconds(5'000), milliseconds(5'000)}});
  CHECK_TRUE(Logged("request_quarantined"));
  Wait(milliseconds(50));
  CHECK_FALSE(caller.IsClosed());
  CHECK_FALSE(f.a.other_side_closed);
  if (!f.a.other_side_closed) {
    at_first->Write(LastEvent(2));
  }
  CHECK_TRUE(IsWhole(caller));
}

// Control for D and E: a stream that was never held leaves a draining server.
TEST(HeldAttemptPath, ADrainingServerIsLeft) {
  f.calls.report = EngineReport();
  AddServer("x3", "x", {40, 80}, nullptr);
  Begin();
  const auto view = std::make_shared<ForwardingView>(*f.view);
  view->servers.at("x2").draining = true;
  view->servers.at("x3").draining = true;
  AddServer("x4", "x", {40, 80}, nullptr);
  Drain("x2");
  Drain("x3");
  Wait(milliseconds(20));
  at_first->Write(EventChunk(2));
  Wait(milliseconds(400));
  CHECK_FALSE(f.calls.rerouted.empty());
}

// Guards against a stream that returns to a path with a draining server and stays there.
TEST(HeldAttemptPath, AServerThatBeganToDrainMeanwhileIsLeftAfterTheReturn) {
  const TestCaller& caller = Begin();
  CHECK_TRUE(f.Until([&] { return at_second != nullptr; }));
  AddServer("x4", "x", {40, 80}, nullptr);
  Drain("x2");
  const std::size_t before = f.calls.rerouted.size();
  at_first->Write(EventChunk(2));
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e2"); }));
  CHECK_TRUE(Logged("request_returned"));
  Wait(milliseconds(60));
  at_first->Write(EventChunk(3));
  Wait(milliseconds(60));
  at_first->Write(EventChunk(4));
  Wait(milliseconds(300));
  CHECK_TRUE(f.calls.rerouted.size() > before);
}

// Guards against a path that is out of date after the return.
TEST(HeldAttemptPath, ARerouteThatEndsWhileItIsHeldIsNotForgotten) {
  f.calls.report = EngineReport();
  f.calls.holds_reroutes = true;
  AddServer("x3", "x", {40, 80}, nullptr);
  const TestCaller& caller = Begin();
  Wait(milliseconds(60));
  f.traffic->OnPeerStalls({StallReport{"x2", milliseconds(0)}});
  if (f.calls.rerouted.empty()) {
    f.traffic->OnPeerStalls({StallReport{"x3", milliseconds(0)}});
  }
  CHECK_EQUAL(1U, f.calls.rerouted.size());
  const std::string now_on = f.calls.rerouted.front().back().server;
  f.traffic->OnPeerStalls({StallReport{"x1", milliseconds(0)}});
  CHECK_TRUE(f.Until([&] { return at_second != nullptr; }));
  f.calls.held_reroutes.front()({});
  at_first->Write(EventChunk(2));
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e2"); }));
  CHECK_TRUE(Logged("request_returned"));
  AddServer("x4", "x", {40, 80}, nullptr);
  Drain(now_on);
  Wait(milliseconds(60));
  at_first->Write(EventChunk(3));
  Wait(milliseconds(60));
  at_first->Write(EventChunk(4));
  Wait(milliseconds(300));
  CHECK_TRUE(f.calls.rerouted.size() > 1);
}

TEST(HeldAttemptPath, WithAnotherViewAServerThatBeganToDrainMeanwhileIsLeftAfterTheReturn) {
  const TestCaller& caller = Begin();
  CHECK_TRUE(f.Until([&] { return at_second != nullptr; }));
  AddServer("x4", "x", {40, 80}, nullptr);
  Drain("x2");
  const std::size_t before = f.calls.rerouted.size();
  at_first->Write(EventChunk(2));
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e2"); }));
  CHECK_TRUE(Logged("request_returned"));
  SetView(std::make_shared<ForwardingView>(*f.view));
  Wait(milliseconds(60));
  at_first->Write(EventChunk(3));
  Wait(milliseconds(60));
  at_first->Write(EventChunk(4));
  Wait(milliseconds(300));
  CHECK_TRUE(f.calls.rerouted.size() > before);
}

TEST(HeldAttemptPath, IfNotHeldARerouteThatEndsWhileItIsHeldIsNotForgotten) {
  f.calls.report = EngineReport();
  f.calls.holds_reroutes = true;
  AddServer("x3", "x", {40, 80}, nullptr);
  const TestCaller& caller = Begin();
  Wait(milliseconds(60));
  f.traffic->OnPeerStalls({StallReport{"x2", milliseconds(0)}});
  if (f.calls.rerouted.empty()) {
    f.traffic->OnPeerStalls({StallReport{"x3", milliseconds(0)}});
  }
  CHECK_EQUAL(1U, f.calls.rerouted.size());
  const std::string now_on = f.calls.rerouted.front().back().server;
  f.calls.held_reroutes.front()({});
  at_first->Write(EventChunk(2));
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e2"); }));
  AddServer("x4", "x", {40, 80}, nullptr);
  Drain(now_on);
  Wait(milliseconds(60));
  at_first->Write(EventChunk(3));
  Wait(milliseconds(60));
  at_first->Write(EventChunk(4));
  Wait(milliseconds(300));
  CHECK_TRUE(f.calls.rerouted.size() > 1);
}

// Guards against letting go of a sound second server for a third one.
TEST(HeldAttemptPath, ASecondServerIsKeptWhileAThirdIsTried) {
  SetMostServers(3);
  const TestCaller& caller = Begin();
  CHECK_TRUE(f.Until([&] { return at_second != nullptr; }));
  AddServer("z1", "z", {0, 40}, &c);
  AddServer("z2", "z", {40, 80}, nullptr);
  CHECK_TRUE(f.Until([&] { return !c.received.empty(); }));
  Wait(milliseconds(50));
  f.a.Crash();
  WriteIfOpen(at_second, HeadAndEvent(2) + "0\r\n\r\n");
  CHECK_TRUE(IsWhole(caller));
}

// Guards against two copies of one request at one server.
TEST(HeldAttemptPath, TheHeldServerIsNotSentTheRequestAgain) {
  SetMostServers(3);
  f.calls.report = EngineReport();
  f.b.scripts = {[this](Connection& connection) {
    AddServer("x3", "x", {40, 80}, nullptr);
    connection.Close();
  }};
  Begin();
  Wait(milliseconds(60));
  f.traffic->OnPeerStalls({StallReport{"x2", milliseconds(0)}});
  CHECK_TRUE(f.Until([&] { return !f.b.received.empty(); }));
  Wait(milliseconds(200));
  CHECK_EQUAL(1U, f.a.received.size());
}

// Guards against an event without its beginning, which arrived while the attempt was held.
TEST(HeldAttemptPath, WhatArrivesWhileItIsHeldIsKeptWhenTheOtherBreaksOff) {
  const TestCaller& caller = Begin();
  CHECK_TRUE(f.Until([&] { return at_second != nullptr; }));
  at_first->Write(ForwardingFixture::Chunk("id: 2\nda"));
  Wait(milliseconds(20));
  at_second->Close();
  Wait(milliseconds(20));
  at_first->Write(ForwardingFixture::Chunk("ta: e2\n\n") + "0\r\n\r\n");
  CHECK_TRUE(IsWhole(caller));
  CHECK_TRUE(caller.Has("id: 2\ndata: e2\n\n"));
}

// Guards against an answer without a status, whose head arrived while the attempt was held.
TEST(HeldAttemptPath, AHeadThatArrivesWhileItIsHeldIsKeptWhenTheOtherBreaksOff) {
  f.a.scripts = {[this](Connection& connection) { at_first = &connection; }};
  const TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return at_second != nullptr; }));
  at_first->Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n"));
  Wait(milliseconds(20));
  at_second->Close();
  Wait(milliseconds(20));
  at_first->Write(EventChunk(1) + "0\r\n\r\n");
  CHECK_TRUE(IsWhole(caller));
  CHECK_TRUE(caller.Has("HTTP/1.1 200"));
  CHECK_TRUE(caller.Has("data: e1"));
}

// Guards against leaving a sound server for an answer that is not the held server's own.
TEST(HeldAttemptPath, AnUnsignedAnswerOfTheFirstKeepsTheSecond) {
  CheckSecondAnswers(ForwardingFixture::Head("Connection: X-Signature\r\n"
                                             "Transfer-Encoding: chunked\r\n") +
                     EventChunk(1));
}

// The same with a third server, to which the request would be sent in the middle of that answer.
TEST(HeldAttemptPath, AWholeUnsignedAnswerOfTheFirstKeepsTheSecond) {
  SetMostServers(3);
  CheckSecondAnswers(ForwardingFixture::Head("Connection: X-Signature\r\nContent-Length: 0\r\n"));
}

// Guards against returning to an answer that was found to be of no use.
TEST(HeldAttemptPath, ARefusalThatArrivesWhileItIsHeldIsNotReturnedTo) {
  f.a.scripts = {[this](Connection& connection) { at_first = &connection; }};
  const TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return at_second != nullptr; }));
  at_first->Write("HTTP/1.1 500 Failed\r\nX-Id: r-1\r\nContent-Length: 4\r\n\r\nlo");
  Wait(milliseconds(20));
  at_second->Close();
  Wait(milliseconds(20));
  WriteIfOpen(at_first, "st");
  CHECK_TRUE(f.Until([&] { return caller.Has("\r\n\r\n"); }));
  CHECK_TRUE(caller.Has("HTTP/1.1 502"));
  CHECK_FALSE(caller.Has("HTTP/1.1 000"));
}

// Guards against a bound that is used up by attempts which were never sent.
TEST(HeldAttemptPath, ASecondThatWasNeverReachedDoesNotCountAsReached) {
  CheckUnreachedSecondIsNotCounted();
}

// The same for the held one.
TEST(HeldAttemptPath, AHeldOneThatWasNeverReachedDoesNotCountAsReached) {
  CheckUnreachedHeldIsNotCounted();
}

TEST(HeldAttemptPath, WithMoreServersASecondThatWasNeverReachedDoesNotCountAsReached) {
  SetMostServers(3);
  CheckUnreachedSecondIsNotCounted();
}

TEST(HeldAttemptPath, WithMoreServersAHeldOneThatWasNeverReachedDoesNotCountAsReached) {
  SetMostServers(3);
  CheckUnreachedHeldIsNotCounted();
}

}  // namespace zinnia
