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

// Guards against treating a missing configuration as one without keys and routes.
TEST(Answers, AnInstanceWithoutConfigurationSendsRetryAfter) {
  f.traffic->SetView(std::make_shared<ForwardingView>());
  TestCaller& caller = f.Call("/safe/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("503"); }));
  // A store outage lasts for seconds, so an immediate retry would fail.
  CHECK_TRUE(caller.Has("Retry-After: 2.") || caller.Has("Retry-After: 3."));
}

// Guards against rejecting requests in the moment before a new instance has its configuration.
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

// Guards against rejecting a stream for a brief lack of capacity.
TEST(Answers, AStreamWaitsBrieflyForCapacity) {
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

TEST(Answers, AStreamWithoutCapacityIsRejectedWithRetryAfter) {
  const auto full = std::make_shared<ForwardingView>(*f.view);
  full->servers.clear();
  f.traffic->SetView(full);
  TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("503"); }));
  CHECK_TRUE(caller.Has("Retry-After: 0."));
  CHECK_EQUAL(0U, f.Arrivals());
}

// Guards against buffering a chunked stream until its end.
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

// Guards against duplicate or partial events when a stream resumes on another server.
TEST(Answers, ABrokenStreamResumesAfterItsLastCompleteEvent) {
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

// Guards against waiting for silence when the entry of a server shows that it has restarted.
TEST(Answers, AStreamLeavesARestartedServerAtOnce) {
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

// Guards against news of a restart that is older than the stream's connection.
TEST(Answers, AStreamGoesOnThoughItsServerIsSaidToHaveStartedAgain) {
  Connection* open = nullptr;
  f.Script([&open](Connection& connection) {
    open = &connection;
    connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                     ForwardingFixture::Chunk(ForwardingFixture::Event(1)));
  });
  const TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e1"); }));
  const auto later = std::make_shared<ForwardingView>(*f.view);
  later->ended_incarnations = {f.a.received.empty() ? "b" : "a"};
  later->servers.clear();
  f.traffic->SetView(later);
  for (int id = 2; id <= 4; ++id) {
    open->Write(ForwardingFixture::Chunk(ForwardingFixture::Event(id)));
    CHECK_TRUE(f.Until([&] { return caller.Has(fmt::format("data: e{}", id)); }));
    f.traffic->SetView(std::make_shared<ForwardingView>(*later));
  }
  open->Write("0\r\n\r\n");
  CHECK_TRUE(f.Until([&] { return caller.Has("\r\n0\r\n\r\n"); }));
  CHECK_EQUAL(1U, f.Arrivals());
}

// Guards against a stream that has used up its servers by the time at which its own one ends.
TEST(Answers, AStreamOfAServerSaidToHaveStartedAgainMovesWhenItBreaks) {
  Connection* open = nullptr;
  bool first = true;
  f.Script([&](Connection& connection) {
    const bool goes_on = !std::exchange(first, false);
    open = goes_on ? open : &connection;
    connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                     ForwardingFixture::Chunk(ForwardingFixture::Event(goes_on ? 3 : 1)) +
                     (goes_on ? "0\r\n\r\n" : ""));
  });
  const TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e1"); }));
  const auto later = std::make_shared<ForwardingView>(*f.view);
  const BackendServerName lost = f.a.received.empty() ? "b" : "a";
  later->ended_incarnations = {lost};
  later->servers[lost + "2"] = later->servers.at(lost);
  later->servers[lost + "2"].name = lost + "2";
  later->servers.erase(lost);
  f.traffic->SetView(later);
  open->Write(ForwardingFixture::Chunk(ForwardingFixture::Event(2)));
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e2"); }));
  CHECK_EQUAL(1U, f.Arrivals());
  open->Close();
  CHECK_TRUE(f.Until([&] { return caller.Has("\r\n0\r\n\r\n"); }));
  CHECK_TRUE(caller.Has("data: e3"));
  CHECK_EQUAL(2U, f.Arrivals());
}

// Guards against resending a running stream to another first server because a later server drains.
TEST(Answers, ARunningStreamKeepsItsFirstServerWhenALaterOneDrains) {
  f.Script([](Connection& connection) {
    connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                     ForwardingFixture::Chunk(ForwardingFixture::Event(1)));
  });
  f.SetChains();
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

// Guards against retrying draining servers that cannot announce it during a store outage.
TEST(Answers, AServerWithAFailingHealthCheckIsReportedAsDraining) {
  f.Script([](Connection& connection) {
    connection.Write(
        "HTTP/1.1 503 Leaving\r\nX-Id: r-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  });
  f.calls.health = HealthAnswer::kRefuses;
  f.SetChains();
  TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("503"); }));
  CHECK_EQUAL(2U, f.server_reports.size());  // Both were tried.
  CHECK_TRUE(f.server_reports.front().leaving);
}

// Guards against requests to a server whose answers announce its departure before its entry does.
TEST(Answers, AServerThatAnnouncesItsDepartureIsReported) {
  f.Script([](Connection& connection) {
    connection.Write(ForwardingFixture::Head("X-Leaving: 1\r\nContent-Length: 2\r\n") + "ok");
  });
  TestCaller& caller = f.Call("/safe/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("ok"); }));
  CHECK_EQUAL(1U, f.server_reports.size());
  CHECK_TRUE(f.server_reports.front().leaving);
  CHECK_TRUE(f.server_reports.front().announced);
}

TEST(Answers, AFullServerWithAPassingHealthCheckIsNotReportedAsDraining) {
  f.Script([](Connection& connection) {
    connection.Write("HTTP/1.1 503 Full\r\nX-Id: r-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  });
  f.SetChains();
  TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("503"); }));
  CHECK_EQUAL(2, f.calls.health_queries);
  CHECK_TRUE(f.server_reports.empty());
}

// Guards against applying the answer to an outdated reroute to the path of a later send.
TEST(Answers, AnOutdatedRerouteDoesNotChangeThePathOfALaterSend) {
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
  f.SetChains();
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

// Guards against running a non-idempotent request twice after its answer is lost.
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

TEST(Answers, ARefusalThatGuaranteesNotRunIsRetriedOnAnotherServer) {
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

TEST(Answers, WhenAllServersRefuseTheAnswerHasRetryAfter) {
  f.Script([](Connection& connection) {
    connection.Write("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  });
  TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("503"); }));
  CHECK_TRUE(caller.Has("Retry-After: 0."));
}

// Guards against reporting "not run" for a 503 without a guarantee from the server.
TEST(Answers, AStatusThatMeansNotRunIsNotPassedOnWithoutAGuarantee) {
  f.Script([](Connection& connection) {
    connection.Write(
        "HTTP/1.1 503 Sick\r\nX-Id: r-1\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n");
  });
  TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("502"); }));
  CHECK_FALSE(caller.Has("X-Signature"));
}

// Guards against relaying a late answer to another request on the same connection.
TEST(Answers, AnAnswerToAnotherRequestIsNotPassedOn) {
  f.Script([](Connection& connection) {
    connection.Write(
        "HTTP/1.1 200 OK\r\nX-Id: r-0\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nwrong");
  });
  TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("502"); }));
  CHECK_FALSE(caller.Has("wrong"));
}

TEST(Answers, AnUnsignedSuccessIsNotPassedOn) {
  f.Script([](Connection& connection) {
    connection.Write("HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 5\r\n\r\nwrong");
  });
  TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("502"); }));
}

// Guards against reading surplus bytes after an answer as the start of the next one.
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

// Guards against servers that keep working after the caller has disconnected.
TEST(Answers, ADisconnectedCallersRequestIsCancelledAtTheServer) {
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

// Guards against dropping unfinished requests when an instance stops.
TEST(Answers, ARequestThatDoesNotEndBeforeItsInstanceGetsItsFinalAnswer) {
  f.Script([](Connection&) {});
  TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return f.Arrivals() == 1; }));
  f.traffic->Server().BeginDrain();
  f.traffic->Server().StopAccepting(std::chrono::minutes(2));
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
