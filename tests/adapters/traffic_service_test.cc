#include <string>

#include "tests/adapters/traffic_caller_server_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

TEST_GROUP(TrafficService) {
  CallerServerFixture fixture;

  void setup() override {
    fixture.StartServer();
  }

  TestCaller& Book(const std::string& headers = "Idempotency-Key: k1\r\n") {
    return fixture.Request("POST /bookings?bed=2", R"({"bed":2})", headers);
  }
  bool UntilServed(std::size_t count) {
    return fixture.Until([this, count] { return fixture.served.size() == count; });
  }
  bool UntilBegun() {
    return fixture.Until([this] { return fixture.once.answer_begin != nullptr; });
  }
};

TEST(TrafficService, CallPassesUnchangedButForHopByHopFieldsAndTheKey) {
  TestCaller& caller = fixture.Request("PUT /bookings/7?x=%20y", "raw \x01 body",
                                       "Connection: X-Hop\r\nX-Hop: 1\r\nX-Mine: 2\r\n");
  CHECK(UntilServed(1));
  const auto& request = fixture.served[0].request;
  STRCMP_EQUAL("PUT", std::string(request.method_string()).c_str());
  STRCMP_EQUAL("/bookings/7?x=%20y", std::string(request.target()).c_str());
  STRCMP_EQUAL("raw \x01 body", request.body().c_str());
  STRCMP_EQUAL("2", std::string(request["X-Mine"]).c_str());
  STRCMP_EQUAL("", std::string(request["X-Hop"]).c_str());
  STRCMP_EQUAL("", std::string(request["Authorization"]).c_str());
  STRCMP_EQUAL("i-1-100-0-1", std::string(request["X-Request-Id"]).c_str());
  fixture.served[0].answer(201, "{\"booking\":7}");
  CHECK(fixture.UntilHas(caller, "{\"booking\":7}"));
  CHECK(caller.Has("HTTP/1.1 201"));
  DOUBLES_EQUAL(3.0, fixture.metrics.credit["kariakoo"], 0.0);
}

TEST(TrafficService, GrantedCallIsDispatchedOnceAndItsAnswerReported) {
  TestCaller& caller = Book();
  CHECK(UntilBegun());
  LONGS_EQUAL(0, fixture.served.size());
  STRCMP_EQUAL("kariakoo", fixture.once.begun[0].organisation.c_str());
  STRCMP_EQUAL("k1", fixture.once.begun[0].key.c_str());
  fixture.once.Reply(IntentVerdict::kGranted);
  CHECK(UntilServed(1));
  fixture.served[0].answer(200, "{\"booking\":7}");
  CHECK(fixture.UntilHas(caller, "{\"booking\":7}"));
  LONGS_EQUAL(1, fixture.once.reported.size());
  STRCMP_EQUAL("{\"booking\":7}", fixture.once.reported[0].answer->body.c_str());
  STRCMP_EQUAL("i-1-100-0-1", fixture.once.reported[0].request_id.c_str());
}

TEST(TrafficService, GrantThatCameTooLateIsReportedUnusedAndNotDispatched) {
  // Symptom: a guest is booked twice. Sequence: the grant is given, this process is paused, the
  // partition's next holder treats the intent as its own, the process wakes and dispatches. Cause:
  // a grant used after its validity.
  TestCaller& caller = Book();
  CHECK(UntilBegun());
  fixture.time.AdvanceBy(std::chrono::milliseconds(500));
  fixture.once.Reply(IntentVerdict::kGranted);
  CHECK(fixture.UntilHas(caller, "\"was_run\":\"no\""));
  LONGS_EQUAL(0, fixture.service.targets.size());
  LONGS_EQUAL(1, fixture.once.reported.size());
  CHECK_FALSE(fixture.once.reported[0].answer.has_value());
}

TEST(TrafficService, CallerWhoLeftBeforeTheGrantIsNotBooked) {
  TestCaller& caller = Book();
  CHECK(UntilBegun());
  caller.Close();
  CHECK(fixture.Until([this] { return fixture.metrics.counts["callers_gone"] == 1; }));
  LONGS_EQUAL(1, fixture.server->InFlight());
  fixture.once.Reply(IntentVerdict::kGranted);
  LONGS_EQUAL(0, fixture.server->InFlight());
  CHECK_FALSE(fixture.once.reported.at(0).answer.has_value());
  LONGS_EQUAL(0, fixture.service.targets.size());
}

// Guards against a booking for a caller whose leaving the loop has not been told of yet.
TEST(TrafficService, CallerWhoHasJustLeftBeforeTheGrantIsNotBooked) {
  TestCaller& caller = Book();
  CHECK(UntilBegun());
  caller.Close();
  fixture.once.Reply(IntentVerdict::kGranted);
  CHECK(fixture.Until([this] { return fixture.server->InFlight() == 0; }));
  CHECK_FALSE(fixture.once.reported.at(0).answer.has_value());
  LONGS_EQUAL(0, fixture.service.targets.size());
}

TEST(TrafficService, OutcomeIsRecordedThoughTheCallerLeft) {
  // Symptom: a repeated booking is answered "unknown" for ever. Sequence: dispatched, the caller
  // leaves, the service answers. Cause: the call dropped with its connection.
  TestCaller& caller = Book();
  CHECK(UntilBegun());
  fixture.once.Reply(IntentVerdict::kGranted);
  CHECK(UntilServed(1));
  caller.Close();
  CHECK(fixture.Until([this] { return fixture.metrics.counts["callers_gone"] == 1; }));
  fixture.served[0].answer(200, "{\"booking\":7}");
  CHECK(fixture.Until([this] { return fixture.server->InFlight() == 0; }));
  STRCMP_EQUAL("{\"booking\":7}", fixture.once.reported.at(0).answer->body.c_str());
}

TEST(TrafficService, RecordedAnswerIsReplayed) {
  TestCaller& caller = Book();
  CHECK(UntilBegun());
  fixture.once.Reply(IntentVerdict::kAnswered, RecordedAnswer{201, "text/x", "old", false});
  CHECK(fixture.UntilHas(caller, "old"));
  CHECK(caller.Has("HTTP/1.1 201"));
  CHECK(caller.Has("Idempotency-Replayed: true"));
  LONGS_EQUAL(0, fixture.service.targets.size());
  DOUBLES_EQUAL(0.0, fixture.metrics.credit["kariakoo"], 0.0);
}

TEST(TrafficService, StartedKeyIsUnknownAndReusedKeyIsRefused) {
  TestCaller& started = Book();
  CHECK(UntilBegun());
  fixture.once.Reply(IntentVerdict::kStarted);
  CHECK(fixture.UntilHas(started, "\"was_run\":\"unknown\""));
  CHECK(started.Has("HTTP/1.1 409"));
  TestCaller& reused = Book();
  CHECK(UntilBegun());
  fixture.once.Reply(IntentVerdict::kKeyReused);
  CHECK(fixture.UntilHas(reused, "idempotency_key_reused"));
  CHECK(reused.Has("HTTP/1.1 422"));
  LONGS_EQUAL(0, fixture.service.targets.size());
}

TEST(TrafficService, LostConnectionAfterDispatchIsUnknownAndNeverRepeated) {
  // Symptom: a guest is booked into two dormitories. Sequence: the service takes the booking and
  // its connection breaks before the answer. Cause: a retry on another server.
  for (const std::string headers : {"Idempotency-Key: k1\r\n", ""}) {
    fixture.snapshots.AddServer("l-2", fixture.service.Address());
    const std::size_t before = fixture.served.size();
    TestCaller& caller = Book(headers);
    if (!headers.empty()) {
      CHECK(UntilBegun());
      fixture.once.Reply(IntentVerdict::kGranted);
    }
    CHECK(UntilServed(before + 1));
    fixture.served.back().drop();
    CHECK(fixture.UntilHas(caller, "\"was_run\":\"unknown\""));
    CHECK(caller.Has("HTTP/1.1 409"));
    RunReady(fixture.loop);
    LONGS_EQUAL(before + 1, fixture.served.size());
  }
  LONGS_EQUAL(0, fixture.once.reported.size());
}

TEST(TrafficService, RefusedConnectionMayTryAnotherServer) {
  fixture.snapshots.AddServer("l-2", fixture.service.Address());
  ScriptedServer dead(fixture.loop, [](const ScriptedServer::Received&) {});
  fixture.snapshots.AddServer("l-1", dead.Address());
  dead.Crash();
  Book("");
  CHECK(UntilServed(1));
}

TEST(TrafficService, UnreachableServiceFreesTheKeyAndWasNotRun) {
  fixture.service.Crash();
  TestCaller& caller = Book();
  CHECK(UntilBegun());
  fixture.once.Reply(IntentVerdict::kGranted);
  CHECK(fixture.UntilHas(caller, "backend_unavailable"));
  CHECK(caller.Has("\"was_run\":\"no\""));
  CHECK_FALSE(fixture.once.reported.at(0).answer.has_value());
}

TEST(TrafficService, IdempotentCallIsRetriedElsewhere) {
  fixture.snapshots.AddServer("l-2", fixture.service.Address());
  TestCaller& caller = fixture.Request("GET /bookings/count", "");
  CHECK(UntilServed(1));
  fixture.served[0].drop();
  CHECK(UntilServed(2));
  fixture.served[1].answer(200, "{\"count\":1}");
  CHECK(fixture.UntilHas(caller, "{\"count\":1}"));
}

TEST(TrafficService, LeavingServerGetsNoCalls) {
  fixture.snapshots.snapshot->servers["l-1"].state = BackendServerState::kLeaving;
  TestCaller& caller = Book("");
  CHECK(fixture.UntilHas(caller, "backend_unavailable"));
  LONGS_EQUAL(0, fixture.service.targets.size());
}

}  // namespace
}  // namespace zinnia
