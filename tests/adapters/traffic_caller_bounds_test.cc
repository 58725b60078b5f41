#include <string>

#include "tests/adapters/traffic_caller_server_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

TEST_GROUP(TrafficCallerBounds) {
  CallerServerFixture fixture;

  void ExpectRefusal(const TestCaller& caller, const std::string& status, const std::string& text) {
    CHECK(fixture.UntilHas(caller, text));
    STRCMP_CONTAINS(("HTTP/1.1 " + status).c_str(), caller.Received().c_str());
    STRCMP_CONTAINS("\"was_run\":\"no\"", caller.Received().c_str());
    LONGS_EQUAL(0, fixture.sessions.size());
  }
};

TEST(TrafficCallerBounds, UnknownOrMissingKeyIsUnauthorized) {
  fixture.StartServer();
  ExpectRefusal(fixture.Request("GET /v1/models", "", "", "key-x"), "401", "unauthorized");
  TestCaller& keyless = fixture.Connect();
  keyless.Send("GET /v1/models HTTP/1.1\r\nHost: z\r\n\r\n");
  ExpectRefusal(keyless, "401", "unauthorized");
  CHECK(keyless.Has("WWW-Authenticate: Bearer"));
}

TEST(TrafficCallerBounds, BadBodiesNameTheField) {
  fixture.StartServer();
  const auto chat = [this](const std::string& body) -> TestCaller& {
    return fixture.Request("POST /v1/chat/completions", body);
  };
  ExpectRefusal(chat("{\"model\":"), "400", "must be a JSON object");
  ExpectRefusal(chat(R"({"model":7,"messages":[]})"), "400", "model must be a string");
  ExpectRefusal(chat(R"({"model":"swift","messages":[]})"), "400", "messages must be a list");
  ExpectRefusal(fixture.Chat(R"(,"n":2)"), "400", "n must be 1");
  ExpectRefusal(fixture.Chat(R"(,"stream":"yes")"), "400", "stream must be true or false");
  ExpectRefusal(fixture.Chat(R"(,"max_tokens":-1)"), "400", "max_tokens must be a whole number");
  ExpectRefusal(fixture.Chat(R"(,"max_tokens":51)"), "400", "gives at most 50");
  ExpectRefusal(fixture.Chat("", "Zinnia-Deadline-Ms: soon\r\n"), "400", "Zinnia-Deadline-Ms");
}

TEST(TrafficCallerBounds, UnknownModelPathAndMethod) {
  fixture.StartServer();
  ExpectRefusal(fixture.Request("POST /v1/chat/completions",
                                R"({"model":"owl","messages":[{"role":"user","content":"x"}]})"),
                "404", "unknown_model");
  ExpectRefusal(fixture.Request("GET /bookings-archive", ""), "404", "not_found");
  ExpectRefusal(fixture.Request("GET /v1/chat/completions", ""), "405", "only the method POST");
}

TEST(TrafficCallerBounds, NotHttpIsRefusedAndClosed) {
  fixture.StartServer();
  TestCaller& caller = fixture.Connect();
  caller.Send("hello\r\n\r\n");
  ExpectRefusal(caller, "400", "not HTTP/1.1");
  CHECK(fixture.Until([&] { return caller.IsClosed(); }));
}

TEST(TrafficCallerBounds, HugeBodyIsRefusedWithoutReadingIt) {
  // Symptom: memory grows with the body that a caller announces. Cause: a body read before its
  // length is compared with the bound.
  fixture.limits.most_body_bytes = 1000;
  fixture.StartServer();
  TestCaller& caller = fixture.Connect();
  caller.Send(
      "POST /bookings HTTP/1.1\r\nHost: z\r\nAuthorization: Bearer key-k\r\n"
      "Content-Length: 1000000000\r\n\r\n");
  ExpectRefusal(caller, "413", "payload_too_large");
}

TEST(TrafficCallerBounds, HugeHeadersAreRefused) {
  fixture.limits.most_header_bytes = 1000;
  fixture.StartServer();
  ExpectRefusal(fixture.Request("GET /v1/models", "", "X-A: " + std::string(2000, 'a') + "\r\n"),
                "413", "payload_too_large");
}

TEST(TrafficCallerBounds, SlowSenderIsCutOff) {
  // Symptom: no connection is left for honest callers. Sequence: somebody opens many and sends a
  // header byte now and then. Cause: the time is counted from the last byte, not from the first.
  fixture.limits.header_timeout = std::chrono::milliseconds(30);
  fixture.StartServer();
  TestCaller& caller = fixture.Connect();
  caller.Send("GET /v1/models HT");
  CHECK(fixture.Until([&] { return caller.IsClosed(); }));
  LONGS_EQUAL(1, fixture.metrics.counts["callers_cut_off_as_slow_senders"]);
}

TEST(TrafficCallerBounds, ConnectionsAndExchangesAreBounded) {
  fixture.limits.most_connections = 2;
  fixture.limits.most_exchanges = 1;
  fixture.StartServer();
  fixture.Chat();
  CHECK(fixture.UntilSession());
  TestCaller& second = fixture.Chat();
  CHECK(fixture.UntilHas(second, "overloaded"));
  TestCaller& third = fixture.Connect();
  CHECK(fixture.Until([&] { return third.IsClosed(); }));
  LONGS_EQUAL(1, fixture.sessions.size());
}

TEST(TrafficCallerBounds, ReadyTellsTheReasons) {
  fixture.not_ready = {"no configuration yet"};
  fixture.StartServer();
  TestCaller& caller = fixture.Connect();
  caller.Send("GET /ready HTTP/1.1\r\nHost: z\r\n\r\n");
  CHECK(fixture.UntilHas(caller, R"({"ready":false,"reasons":["no configuration yet"]})"));
  CHECK(caller.Has("HTTP/1.1 503"));
  fixture.not_ready.clear();
  caller.Send("GET /ready HTTP/1.1\r\nHost: z\r\n\r\n");
  CHECK(fixture.UntilHas(caller, R"({"ready":true,"reasons":[]})"));
}

TEST(TrafficCallerBounds, HeadHasNoBody) {
  // Symptom: the next answer on the connection is garbled. Cause: a body sent after HEAD.
  fixture.StartServer();
  TestCaller& caller = fixture.Request("HEAD /v1/models", "");
  caller.Send(CallerServerFixture::Message("GET /healthz", ""));
  CHECK(fixture.UntilHas(caller, "{\"healthy\":true}"));
  CHECK_FALSE(caller.Has("swift"));
}

TEST(TrafficCallerBounds, DrainRefusesNewRequestsAndFinishesOldOnes) {
  // Symptom: a planned stop cuts answers, or a refused booking is made after all. Sequence: a
  // session runs, the drain begins, a booking comes. Cause: drain by closing, or a refusal that was
  // sent after the dispatch.
  fixture.StartServer();
  TestCaller& running = fixture.Chat();
  CHECK(fixture.UntilSession());
  fixture.server->BeginDrain();
  TestCaller& refused = fixture.Request("POST /bookings", "{}");
  CHECK(fixture.Until([&] { return refused.IsClosed(); }));
  CHECK(refused.Has("HTTP/1.1 503"));
  CHECK(refused.Has("Connection: close"));
  CHECK(refused.Has("Retry-After: 1"));
  CHECK(refused.Has(R"("kind":"draining")"));
  CHECK(refused.Has(R"("was_run":"no")"));
  LONGS_EQUAL(0, fixture.service.targets.size());
  LONGS_EQUAL(1, fixture.server->InFlight());
  STRCMP_EQUAL("chat i-1-100-0-1 of kariakoo with swift, 0 tokens sent",
               fixture.server->Describe().at(0).c_str());

  fixture.sessions.back()->Token("Yes", true);
  fixture.sessions.back()->Done();
  CHECK(fixture.Until([&] { return running.IsClosed(); }));
  CHECK(running.Has("\"content\":\"Yes\""));
  LONGS_EQUAL(0, fixture.server->InFlight());
}

TEST(TrafficCallerBounds, CutOffCancelsWhatIsLeft) {
  fixture.StartServer();
  fixture.Chat();
  CHECK(fixture.UntilSession());
  fixture.server->CutOff();
  CHECK(fixture.sessions.back()->cancelled);
  LONGS_EQUAL(0, fixture.server->InFlight());
}

}  // namespace
}  // namespace zinnia
