#include <fmt/format.h>

#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;
using std::chrono::milliseconds;

TEST_GROUP(Answers) {
  ForwardingFixture f;

  static void Whole(Connection & connection) {
    connection.Write(ForwardingFixture::Head("Content-Length: 2\r\n") + "ok");
  }

  /** Two failure domains with a chain of two servers each; "x1" and "y1" are the fixture's. */
  void SetChains() {
    const auto rules = std::make_shared<ForwardingRules>(*f.view->rules);
    rules->services["pool"].name = "pool";
    rules->services["pool"].engine = MixedEngine();
    rules->services["pool"].health_path = "/health";
    for (ForwardRoute& route : rules->routes) {
      route.services = {{"pool", 1}};
    }
    const auto view = std::make_shared<ForwardingView>(*f.view);
    view->rules = rules;
    view->routes = std::make_shared<RouteTable>(*rules);
    view->servers.clear();
    const auto add = [&](const std::string& name, const std::string& domain, LayerRange layers,
                         const RawServer* server) {
      view->servers[name] = EngineServer(name, "fast", domain, layers);
      if (server != nullptr) {
        view->servers[name].address = server->Address();
      }
    };
    add("x1", "x", {0, 40}, &f.a);
    add("x2", "x", {40, 80}, nullptr);
    add("y1", "y", {0, 40}, &f.b);
    add("y2", "y", {40, 80}, nullptr);
    f.view = view;
    f.traffic->SetView(f.view);
  }
};

TEST(Answers, PassesRequestAndAnswerOnUnchanged) {
  f.Script(Whole);
  TestCaller& caller = f.Call("/safe/x?q=1%20/");
  CHECK_TRUE(f.Until([&] { return caller.Has("ok"); }));
  CHECK_TRUE(caller.Has("200 OK"));
  CHECK_TRUE(caller.Has("X-Signature: s"));
  const auto& request = f.a.received.empty() ? f.b.received[0] : f.a.received[0];
  STRCMP_EQUAL("/safe/x?q=1%20/", std::string(request.target()).c_str());
  STRCMP_EQUAL("body", request.body().c_str());
  STRCMP_EQUAL("hostel", std::string(request["X-Organisation"]).c_str());
  CHECK_TRUE(request["X-Key"].empty());
}

TEST(Answers, RefusesUnknownKeysAndPathsWithoutAskingAServer) {
  f.Script(Whole);
  TestCaller& no_key = f.Call("/safe/x", "wrong");
  TestCaller& no_route = f.Call("/nothing/");
  CHECK_TRUE(f.Until([&] { return no_key.Has("401") && no_route.Has("404"); }));
  CHECK_EQUAL(0U, f.Arrivals());
}

// Symptom: callers with good keys are told that they have none. Sequence: an instance starts while
// the store refuses it. Cause: an empty configuration taken for one without keys and routes.
TEST(Answers, AnInstanceThatKnowsNoConfigurationSaysComeBack) {
  f.traffic->SetView(std::make_shared<ForwardingView>());
  TestCaller& caller = f.Call("/safe/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("503"); }));
  // An outage of the store lasts for seconds: who came back at once would lose his last try.
  CHECK_TRUE(caller.Has("Retry-After: 2.") || caller.Has("Retry-After: 3."));
}

// Symptom: six hundred callers are refused within a fifth of a second after all instances had been
// without power. Sequence: instances start and listen, callers connect at once, the configuration
// arrives. Cause: what is about to be known treated like an outage.
TEST(Answers, ARequestWaitsBrieflyForTheConfigurationOfANewInstance) {
  f.Script(
      [this](Connection& connection) { connection.Write(f.Head("Content-Length: 2\r\n") + "ok"); });
  f.traffic->SetView(std::make_shared<ForwardingView>());
  TestCaller& caller = f.Call("/safe/x");
  f.thread.Loop().restart();
  f.thread.Loop().run_for(std::chrono::milliseconds(200));
  CHECK_FALSE(caller.Has("HTTP"));
  f.traffic->SetView(f.view);
  CHECK_TRUE(f.Until([&] { return caller.Has("200 OK"); }));
}

// Symptom: callers are refused though room comes back a moment later. Sequence: a minute with a
// quarter more than fits; each answer that ends makes room. Cause: want of room taken for final.
TEST(Answers, AStreamWaitsAMomentForRoom) {
  f.Script([this](Connection& connection) {
    connection.Write(f.Head("Transfer-Encoding: chunked\r\n") + f.Chunk(f.Event(1)) + "0\r\n\r\n");
  });
  const auto full = std::make_shared<ForwardingView>(*f.view);
  full->servers.clear();
  f.traffic->SetView(full);
  TestCaller& caller = f.Call("/events/x");
  f.thread.Loop().restart();
  f.thread.Loop().run_for(std::chrono::milliseconds(100));
  CHECK_FALSE(caller.Has("HTTP"));
  f.traffic->SetView(f.view);
  CHECK_TRUE(f.Until([&] { return caller.Has("200 OK"); }));
}

TEST(Answers, AStreamThatFindsNoRoomIsRefusedAndToldWhenToComeBack) {
  const auto full = std::make_shared<ForwardingView>(*f.view);
  full->servers.clear();
  f.traffic->SetView(full);
  TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("503"); }));
  CHECK_TRUE(caller.Has("Retry-After: 0."));
  CHECK_EQUAL(0U, f.Arrivals());
}

// Symptom: a caller sees all events of a stream at its end. Sequence: a server sends events in
// chunks as they are made. Cause: the reader waited for the whole chunked body.
TEST(Answers, EventsArriveBeforeTheStreamEnds) {
  Connection* open = nullptr;
  f.Script([&](Connection& connection) {
    open = &connection;
    connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                     ForwardingFixture::Chunk(ForwardingFixture::Event(1)));
  });
  TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e1"); }));
  CHECK_FALSE(caller.Has("\r\n0\r\n"));
  open->Write(ForwardingFixture::Chunk(ForwardingFixture::Event(2)) + "0\r\n\r\n");
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e2") && caller.Has("\r\n0\r\n\r\n"); }));
}

// Symptom: a piece of an answer comes twice, or half of it. Sequence: a server breaks off within
// event 2; the stream goes on at another server. Cause: bytes passed on as they come, and resuming
// at what was received instead of at the last whole event.
TEST(Answers, ABrokenStreamGoesOnAfterItsLastWholeEvent) {
  const auto break_off = [](Connection& connection) {
    connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                     ForwardingFixture::Chunk(ForwardingFixture::Event(1) + "id: 2\ndata: ha"));
    connection.Close();
  };
  const auto go_on = [](Connection& connection) {
    connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                     ForwardingFixture::Chunk(ForwardingFixture::Event(2)) + "0\r\n\r\n");
  };
  bool first = true;
  f.Script([&](Connection& connection) {
    std::exchange(first, false) ? break_off(connection) : go_on(connection);
  });
  TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("\r\n0\r\n\r\n"); }));
  CHECK_TRUE(caller.Has("data: e1"));
  CHECK_TRUE(caller.Has("data: e2"));
  CHECK_FALSE(caller.Has("data: ha"));
  CHECK_EQUAL(2U, f.Arrivals());
  const auto& second = f.a.received.size() == 1 && f.b.received.size() == 1
                           ? (f.a.received[0]["X-Last-Event"].empty() ? f.b : f.a).received[0]
                           : f.a.received.back();
  STRCMP_EQUAL("1", std::string(second["X-Last-Event"]).c_str());
}

// Symptom: a stream stands still for half a second and more. Sequence: its server crashes and
// starts again under its registration; its connection stays open, as nobody is left to close it.
// Cause: the new start shows in the servers' entries, and only silence was looked at.
TEST(Answers, AStreamLeavesAServerThatHasStartedAgainAtOnce) {
  bool first = true;
  f.Script([&](Connection& connection) {
    const bool goes_on = !std::exchange(first, false);
    connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                     ForwardingFixture::Chunk(ForwardingFixture::Event(goes_on ? 2 : 1)) +
                     (goes_on ? "0\r\n\r\n" : ""));
  });
  TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e1"); }));
  const auto later = std::make_shared<ForwardingView>(*f.view);
  const BackendServerName lost = f.a.received.empty() ? "b" : "a";
  later->servers.erase(lost);
  later->ended_incarnations = {lost};
  f.traffic->SetView(later);
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e2"); }));
  CHECK_EQUAL(2U, f.Arrivals());
}

// Symptom: a stream that was well is cut off with an answer begun, beside a planned replacement of
// servers. Sequence: a
// later server of its path leaves; the stream starts again elsewhere though it still flows; the new
// first server refuses it, and its tries are used up. Cause: a leaving server treated like a lost
// one.
TEST(Answers, AStreamThatFlowsKeepsItsFirstServerWhenALaterOneLeaves) {
  f.Script([](Connection& connection) {
    connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                     ForwardingFixture::Chunk(ForwardingFixture::Event(1)));
  });
  SetChains();
  TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e1"); }));
  CHECK_EQUAL(1U, f.a.received.size());
  const auto later = std::make_shared<ForwardingView>(*f.view);
  later->servers["x2"].draining = true;
  f.traffic->SetView(later);
  f.thread.Loop().restart();
  f.thread.Loop().run_for(std::chrono::milliseconds(100));
  CHECK_EQUAL(1U, f.Arrivals());
  CHECK_EQUAL(1U, f.calls.rerouted.size());
  STRCMP_EQUAL("x1", f.calls.rerouted.front().front().server.c_str());
}

// Symptom: for as long as the store is away each instance sends requests to servers that refuse all
// of them. Sequence: a server is to be taken away and cannot announce it; it refuses a request.
// Cause: nobody asked why.
TEST(Answers, AServerThatRefusesByItsOwnWordIsToldToLeave) {
  f.Script([](Connection& connection) {
    connection.Write(
        "HTTP/1.1 503 Leaving\r\nX-Id: r-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  });
  f.calls.health = HealthAnswer::kRefuses;
  SetChains();
  TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("503"); }));
  CHECK_EQUAL(2U, f.told.size());  // Both were tried.
  CHECK_TRUE(f.told.front().leaving);
}

TEST(Answers, AServerThatIsFullAndSaysThatItIsWellIsNotToldToLeave) {
  f.Script([](Connection& connection) {
    connection.Write("HTTP/1.1 503 Full\r\nX-Id: r-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  });
  SetChains();
  TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("503"); }));
  CHECK_EQUAL(2, f.calls.health_questions);
  CHECK_TRUE(f.told.empty());
}

// Symptom: a stream is moved to servers that it never ran at, and ends there. Sequence: its first
// server is asked to change the path; it ends the stream, which goes on elsewhere; then its answer
// to the order arrives. Cause: an answer taken for one about the present send.
TEST(Answers, AnOvertakenOrderDoesNotChangeThePathOfALaterSend) {
  f.Script([](Connection& connection) {
    connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                     ForwardingFixture::Chunk(ForwardingFixture::Event(1)));
  });
  f.b.scripts = {[](Connection& connection) {
    connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                     ForwardingFixture::Chunk(ForwardingFixture::Event(2)));
  }};
  Connection* first = nullptr;
  f.a.scripts = {[&](Connection& connection) {
    first = &connection;
    connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                     ForwardingFixture::Chunk(ForwardingFixture::Event(1)));
  }};
  SetChains();
  TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e1"); }));
  f.calls.holds_reroutes = true;
  const auto leaving = [&](const std::string& name, const std::string& stays) {
    f.view = std::make_shared<ForwardingView>(*f.view);
    f.view->servers[name].draining = true;
    f.view->servers[stays].draining = false;
    f.traffic->SetView(f.view);
  };
  leaving("x2", "y2");
  CHECK_TRUE(f.Until([&] { return f.calls.held_reroutes.size() == 1; }));
  first->Close();
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e2"); }));
  f.calls.held_reroutes.front()({});
  leaving("y2", "x2");
  CHECK_TRUE(f.Until([&] { return f.calls.rerouted.size() == 2; }));
  STRCMP_EQUAL("y1", f.calls.rerouted.back().front().server.c_str());
}

// Symptom: a booking made twice. Sequence: the server takes the request and its connection ends
// without an answer. Cause: sent again though it may have run.
TEST(Answers, ANonIdempotentRequestIsNotSentAgainWhenItsAnswerIsLost) {
  f.Script([this](Connection& connection) { connection.Close(); });
  TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("502"); }));
  CHECK_EQUAL(1U, f.Arrivals());
}

TEST(Answers, AnIdempotentRequestIsSentOnceMore) {
  bool first = true;
  f.Script([&](Connection& connection) {
    std::exchange(first, false) ? connection.Close() : Whole(connection);
  });
  TestCaller& caller = f.Call("/safe/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("200 OK"); }));
  CHECK_EQUAL(2U, f.Arrivals());
}

TEST(Answers, ARefusalThatVouchesForNotRunLetsAnotherServerTry) {
  bool first = true;
  f.Script([&](Connection& connection) {
    if (std::exchange(first, false)) {
      connection.Write("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    } else {
      Whole(connection);
    }
  });
  TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("200 OK"); }));
}

TEST(Answers, WhenAllRefuseTheCallerHearsWhenToComeBack) {
  f.Script([](Connection& connection) {
    connection.Write("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  });
  TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("503"); }));
  CHECK_TRUE(caller.Has("Retry-After: 0."));
}

// Symptom: "not run" said of a request that ran. Sequence: a server that ran a request answers 503
// without vouching. Cause: the status passed on as it is.
TEST(Answers, AStatusThatPromisesNotRunIsNotPassedOnWithoutTheProof) {
  f.Script([](Connection& connection) {
    connection.Write(
        "HTTP/1.1 503 Sick\r\nX-Id: r-1\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n");
  });
  TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("502"); }));
  CHECK_FALSE(caller.Has("X-Signature"));
}

// Symptom: a caller gets another one's answer. Sequence: a late second answer arrives where the
// next answer is due. Cause: answers taken by their place on the connection alone.
TEST(Answers, AnAnswerToAnotherRequestIsNotPassedOn) {
  f.Script([](Connection& connection) {
    connection.Write(
        "HTTP/1.1 200 OK\r\nX-Id: r-0\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nwrong");
  });
  TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("502"); }));
  CHECK_FALSE(caller.Has("wrong"));
}

TEST(Answers, ASuccessWithoutASignatureIsNotTheServers) {
  f.Script([](Connection& connection) {
    connection.Write("HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 5\r\n\r\nwrong");
  });
  TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("502"); }));
}

// Symptom: a caller gets bytes that belong to no request. Sequence: a server writes more after a
// whole answer; the connection is kept. Cause: the rest read as the start of the next answer.
TEST(Answers, BytesAfterAnAnswerEndTheConnection) {
  f.Script([](Connection& connection) {
    connection.Write(ForwardingFixture::Head("Content-Length: 2\r\n") + "okHTTP/1.1 200 OK\r\n");
  });
  TestCaller& one = f.Call("/safe/x");
  CHECK_TRUE(f.Until([&] { return one.Has("ok"); }));
  TestCaller& two = f.Call("/safe/x");
  CHECK_TRUE(f.Until([&] { return two.Has("ok"); }));
  CHECK_EQUAL(2, f.a.connections + f.b.connections);
}

TEST(Answers, ConnectionsToServersAreUsedAgain) {
  f.Script(Whole);
  TestCaller& caller = f.Call("/safe/x");
  for (int call = 0; call < 10; ++call) {
    const std::size_t before = f.Arrivals();
    CHECK_TRUE(f.Until([&] { return f.Arrivals() > before || call == 0; }));
    CHECK_TRUE(f.Until([&] { return caller.Has("ok"); }));
    ForwardingFixture::SendOn(caller, "/safe/x");
  }
  CHECK_TRUE(f.a.connections + f.b.connections <= 2);
}

TEST(Answers, AnAnswerWithoutLengthIsWholeWhenItsConnectionEnds) {
  f.Script([](Connection& connection) {
    connection.Write(ForwardingFixture::Head("Connection: close\r\n") + "all of it");
    connection.Close();
  });
  TestCaller& caller = f.Call("/safe/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("all of it"); }));
}

TEST(Answers, AnAnswerShorterThanItsLengthIsNotPassedOn) {
  f.Script([](Connection& connection) {
    connection.Write(ForwardingFixture::Head("Content-Length: 20\r\n") + "shortened");
    connection.Close();
  });
  TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("502"); }));
  CHECK_FALSE(caller.Has("shortened"));
}

// Symptom: servers work for callers that have left. Sequence: a caller closes its connection while
// its request runs. Cause: the server's connection kept open to its end.
TEST(Answers, WhenTheCallerLeavesTheServerIsLeftToo) {
  f.Script([](Connection&) {});
  TestCaller& caller = f.Call("/safe/x");
  CHECK_TRUE(f.Until([&] { return f.Arrivals() == 1; }));
  caller.Close();
  CHECK_TRUE(f.Until([&] { return f.a.other_side_closed || f.b.other_side_closed; }));
  CHECK_EQUAL(0U, f.traffic->Server().InFlight());
}

TEST(Answers, ARequestPastItsDeadlineIsAnsweredAndItsServerLeft) {
  f.Script([](Connection&) {});
  f.callers.push_back(std::make_unique<TestCaller>(f.thread.Loop(), f.traffic->Server().Port()));
  f.callers.back()->Send(
      "POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Id: r-1\r\nX-Key: key-1\r\nX-Deadline: 200\r\n"
      "Content-Length: 0\r\n\r\n");
  CHECK_TRUE(f.Until([&] { return f.callers.back()->Has("504"); }));
  CHECK_TRUE(f.Until([&] { return f.a.other_side_closed || f.b.other_side_closed; }));
}

// Symptom: a caller's connection ends without an answer at a planned stop. Sequence: an instance is
// asked to stop, a server never answers a request with a long deadline, the grace time ends. Cause:
// what was still under way was dropped.
TEST(Answers, ARequestThatDoesNotEndBeforeItsInstanceGetsItsFinalAnswer) {
  f.Script([](Connection&) {});
  TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return f.Arrivals() == 1; }));
  f.traffic->Server().BeginDrain();
  f.traffic->Server().StopAccepting();
  f.traffic->Server().AnswerRest();
  CHECK_TRUE(f.Until([&] { return caller.Has("502") && caller.IsClosed(); }));
  CHECK_EQUAL(0U, f.traffic->Server().InFlight());
}

TEST(Answers, ADrainingInstanceFinishesAndEndsItsConnections) {
  f.Script(Whole);
  f.traffic->Server().BeginDrain();
  TestCaller& caller = f.Call("/safe/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("ok") && caller.IsClosed(); }));
  CHECK_TRUE(caller.Has("Connection: close"));
}

}  // namespace zinnia
