#include <string>
#include <thread>

#include "tests/adapters/traffic_caller_server_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

TEST_GROUP(TrafficChat) {
  CallerServerFixture fixture;
  void setup() override {
    fixture.StartServer();
  }
};

std::string WithoutChunks(const std::string& text) {
  std::string plain;
  std::size_t at = text.find("\r\n\r\n") + 4;
  while (at < text.size()) {
    const std::size_t line_end = text.find("\r\n", at);
    const std::size_t size = std::stoul(text.substr(at, line_end - at), nullptr, 16);
    plain += text.substr(line_end + 2, size);
    at = line_end + 2 + size + 2;
  }
  return plain;
}

TEST(TrafficChat, StreamHasIdsChunksUsageAndDone) {
  TestCaller& caller = fixture.Chat(R"(,"stream":true,"stream_options":{"include_usage":true})");
  CHECK(fixture.UntilSession());
  FakeSession& session = *fixture.sessions.back();
  STRCMP_EQUAL("user: any bed?\nassistant:", session.request.prompt.c_str());
  session.Token("Two \"lower\"\n");
  CHECK(fixture.UntilHas(caller, "id-1"));
  session.Token("beds", true);
  session.Done();
  CHECK(fixture.UntilHas(caller, "\r\n0\r\n\r\n"));
  CHECK(caller.Has("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"));
  CHECK(caller.Has("X-Request-Id: i-1-100-0-1"));
  const std::string opening =
      R"({"id":"chatcmpl-i-1-100-0-1","created":1800000000,"model":"swift","object":"chat.completion.chunk")";
  const std::string expected =
      "id: id-1\ndata: " + opening +
      R"(,"choices":[{"index":0,"delta":{"role":"assistant","content":"Two \"lower\"\n"},"finish_reason":null}]})"
      "\n\nid: id-2\ndata: " +
      opening +
      R"(,"choices":[{"index":0,"delta":{"content":"beds"},"finish_reason":null}]})"
      "\n\ndata: " +
      opening +
      R"(,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]})"
      "\n\ndata: " +
      opening +
      R"(,"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":2,"total_tokens":9,"recoveries":0}})"
      "\n\ndata: [DONE]\n\n";
  STRCMP_EQUAL(expected.c_str(), WithoutChunks(caller.Received()).c_str());
  LONGS_EQUAL(0, fixture.admission.held);
  CHECK(fixture.Until([this] { return fixture.server->InFlight() == 0; }));
  DOUBLES_EQUAL(2.0, fixture.metrics.credit["kariakoo"], 0.0);
  LONGS_EQUAL(1, fixture.metrics.observed[Measure::kFirstToken]);
  LONGS_EQUAL(1, fixture.metrics.observed[Measure::kBetweenTokens]);
  LONGS_EQUAL(1, fixture.metrics.observed[Measure::kWholeAnswer]);
}

TEST(TrafficChat, WholeAnswerKeepsTheConnectionForTheNextRequest) {
  TestCaller& caller = fixture.Chat(R"(,"max_tokens":1)");
  CHECK(fixture.UntilSession());
  fixture.sessions.back()->Token("Yes");
  fixture.sessions.back()->Done();
  CHECK(fixture.UntilHas(
      caller, R"("message":{"role":"assistant","content":"Yes"},"finish_reason":"length")"));
  caller.Send(CallerServerFixture::Message("GET /v1/models", ""));
  CHECK(fixture.UntilHas(caller, R"({"object":"list","data":[{"id":"swift","object":"model")"));
}

TEST(TrafficChat, FailureInsideAStreamEndsItWithoutDone) {
  // Symptom: a caller takes half an answer for a whole one. Sequence: tokens were sent, recovery
  // fails. Cause: the stream closed as if it were complete.
  TestCaller& caller = fixture.Chat(R"(,"stream":true)");
  CHECK(fixture.UntilSession());
  fixture.sessions.back()->Token("Two");
  fixture.sessions.back()->Fail(MakeError(ErrorKind::kRecoveryFailed, "no stage left"));
  CHECK(fixture.UntilHas(caller, "\r\n0\r\n\r\n"));
  CHECK(caller.Has("event: error\ndata: {"));
  CHECK(caller.Has(R"("kind":"recovery_failed")"));
  CHECK(caller.Has(R"("was_run":"unknown","retry_after_ms":1000)"));
  CHECK_FALSE(caller.Has("[DONE]"));
  DOUBLES_EQUAL(0.0, fixture.metrics.credit["kariakoo"], 0.0);
}

TEST(TrafficChat, FailureBeforeTheFirstTokenHasAStatus) {
  TestCaller& caller = fixture.Chat(R"(,"stream":true)");
  CHECK(fixture.UntilSession());
  Error error = MakeError(ErrorKind::kNoPipeline, "no complete pipeline");
  error.retry_after = std::chrono::milliseconds(1200);
  fixture.sessions.back()->Fail(error);
  CHECK(fixture.UntilHas(caller, "\"retry_after_ms\":1200}"));
  CHECK(caller.Has("HTTP/1.1 503 "));
  CHECK(caller.Has("Retry-After: 2\r\n"));
  CHECK(caller.Has("Content-Type: application/problem+json"));
  CHECK(caller.Has(R"("was_run":"no")"));
}

TEST(TrafficChat, DisconnectCancelsTheSession) {
  // Symptom: engines generate for nobody. Sequence: the caller closes its connection while the
  // model writes. Cause: nobody watches the socket between two writes.
  TestCaller& caller = fixture.Chat(R"(,"stream":true)");
  CHECK(fixture.UntilSession());
  caller.Close();
  CHECK(fixture.Until([this] { return fixture.sessions.back()->cancelled; }));
  LONGS_EQUAL(0, fixture.admission.held);
  LONGS_EQUAL(0, fixture.server->InFlight());
}

TEST(TrafficChat, ReaderWhoFallsBehindGetsEveryEventOnceAndInOrder) {
  // Symptom: words missing from, or twice in, an answer. Sequence: the reader falls behind, the
  // socket takes a part of an event, more events come before the rest is out. Cause: the rest is
  // counted from the wrong byte, or later events pass it.
  constexpr std::string_view kTokens = "abcdefghijklmnop";
  constexpr std::size_t kTokenBytes = 500'000;
  constexpr std::size_t kMostBesideTokens = 20'000;
  fixture.limits.most_unsent_bytes = 2 * kTokens.size() * kTokenBytes;
  fixture.server.reset();
  fixture.StartServer();
  TestCaller& caller = fixture.Chat(R"(,"stream":true)");
  CHECK(fixture.UntilSession());
  const auto session = fixture.sessions.back();
  session->Token("first");
  CHECK(fixture.UntilHas(caller, "first"));
  // The reader shares this loop: while it does not run, nothing is read.
  for (const char token : kTokens) {
    session->Token(std::string(kTokenBytes, token));
  }
  session->Done();
  CHECK(fixture.Until([&] { return caller.Received().ends_with("[DONE]\n\n\r\n0\r\n\r\n"); }));
  CHECK(caller.Received().size() < kTokens.size() * kTokenBytes + kMostBesideTokens);
  std::size_t at = 0;
  for (const char token : kTokens) {
    at = caller.Received().find(std::string(kTokenBytes, token), at);
    CHECK(at != std::string::npos);
    at += kTokenBytes;
    CHECK(caller.Received()[at] == '"');
  }
}

TEST(TrafficChat, SlowReaderIsCutOffAtTheBound) {
  // Symptom: an instance runs out of memory. Sequence: a caller stops reading, tokens go on coming.
  // Cause: an unbounded buffer.
  fixture.Chat(R"(,"stream":true)");
  CHECK(fixture.UntilSession());
  const auto session = fixture.sessions.back();
  // The loop does not run in between, so nothing of this can be written out.
  for (int token = 0; token < 5 && !session->cancelled; ++token) {
    session->Token(std::string(fixture.limits.most_unsent_bytes / 3, 'x'));
  }
  CHECK(session->cancelled);
  LONGS_EQUAL(1, fixture.metrics.counts["callers_cut_off_as_slow_readers"]);
}

TEST(TrafficChat, SlowReaderIsCutOffByTheEndOfItsAnswer) {
  // Symptom: the instance crashes. Sequence: the buffer is nearly full, the closing events pass the
  // bound. Cause: the exchange is told that its caller is gone while it sends the ending.
  fixture.Chat(R"(,"stream":true)");
  CHECK(fixture.UntilSession());
  const auto session = fixture.sessions.back();
  session->Token(std::string(fixture.limits.most_unsent_bytes - 300, 'x'));
  CHECK_FALSE(session->cancelled);
  session->Done();
  CHECK(session->cancelled);
  LONGS_EQUAL(0, fixture.metrics.counts["caller_requests_answered"]);
  LONGS_EQUAL(1, fixture.metrics.counts["caller_requests_caller_gone"]);
  DOUBLES_EQUAL(0.0, fixture.metrics.credit["kariakoo"], 0.0);
}

TEST(TrafficChat, DeadlineEndsTheSession) {
  TestCaller& caller = fixture.Chat("", "Zinnia-Deadline-Ms: 800\r\n");
  CHECK(fixture.UntilSession());
  const auto deadline = fixture.admission.requests.back().deadline;
  CHECK(deadline <= TimePoint{std::chrono::milliseconds(800)});
  CHECK(deadline > TimePoint{std::chrono::milliseconds(700)});
  fixture.time.AdvanceBy(std::chrono::milliseconds(800));
  CHECK(fixture.UntilHas(caller, "deadline_unmeetable"));
  CHECK(fixture.sessions.back()->cancelled);
}

// Guards against a deadline that is counted from the reading of a request that waited long for it.
TEST(TrafficChat, TheTimeThatARequestLayUnreadCountsAgainstItsDeadline) {
  constexpr std::chrono::milliseconds kStandstill{200};
  constexpr std::chrono::milliseconds kDeadline{800};
  fixture.Chat("", "Zinnia-Deadline-Ms: 800\r\n");
  std::this_thread::sleep_for(kStandstill);
  CHECK(fixture.UntilSession());
  CHECK(fixture.admission.requests.back().deadline <= TimePoint{kDeadline - kStandstill});
}

TEST(TrafficChat, RefusalOfAdmissionIsFinal) {
  Error refusal = MakeError(ErrorKind::kRateLimited, "the share is used up");
  refusal.retry_after = std::chrono::milliseconds(10);
  fixture.admission.refusal = refusal;
  TestCaller& caller = fixture.Chat();
  CHECK(fixture.UntilHas(caller, "rate_limited"));
  CHECK(caller.Has("HTTP/1.1 429 "));
  CHECK(caller.Has("Retry-After: 1\r\n"));
  LONGS_EQUAL(0, fixture.sessions.size());
}

TEST(TrafficChat, QuarantinedRequestIsNotStarted) {
  fixture.gate.refusal = MakeError(ErrorKind::kQuarantined, "it crashed two servers");
  TestCaller& caller = fixture.Chat();
  CHECK(fixture.UntilHas(caller, "HTTP/1.1 422 "));
  LONGS_EQUAL(0, fixture.admission.requests.size());
}

TEST_GROUP(TrafficResume) {
  CallerServerFixture fixture;
  ResumePoint point;

  void setup() override {
    fixture.StartServer();
    fixture.Chat();
    CHECK(fixture.UntilSession());
    point.session = "s-old";
    point.organisation = "kariakoo";
    point.request = fixture.sessions.back()->request.fingerprint;
    point.seed = 42;
    point.delivered_tokens = 3;
    point.expires_at_unix_ms = 1'800'000'100'000;
    fixture.sessions.clear();
  }

  /** "" if the session was resumed, else all that the caller got. */
  std::string Resume() {
    fixture.resume_tokens.points["token"] = point;
    TestCaller& caller = fixture.Chat(R"(,"stream":true)", "Last-Event-ID: token\r\n");
    CHECK(fixture.Until([&] { return !fixture.sessions.empty() || caller.Has("\r\n\r\n"); }));
    return caller.Received();
  }
};

TEST(TrafficResume, TokenOfTheSameRequestIsTakenUp) {
  STRCMP_EQUAL("", Resume().c_str());
  FakeSession& session = *fixture.sessions.back();
  STRCMP_EQUAL("s-old", session.session.c_str());
  LONGS_EQUAL(42, session.request.seed);
  LONGS_EQUAL(3, session.resume->delivered_tokens);
}

TEST(TrafficResume, TokenOfAnotherOrganisationIsRefused) {
  // Symptom: an agent reads another organisation's answer. Sequence: an event id leaks; somebody
  // with another key sends it with the same prompt. Cause: the token's owner is not compared.
  point.organisation = "msasani";
  STRCMP_CONTAINS("resume_refused", Resume().c_str());
  LONGS_EQUAL(0, fixture.sessions.size());
}

TEST(TrafficResume, TokenOfAnotherRequestIsRefused) {
  point.request.low ^= 1U;
  STRCMP_CONTAINS("resume_refused", Resume().c_str());
}

TEST(TrafficResume, ExpiredTokenIsRefused) {
  point.expires_at_unix_ms = 1'799'999'999'999;
  STRCMP_CONTAINS("has expired", Resume().c_str());
}

TEST(TrafficResume, AlteredTokenIsRefused) {
  TestCaller& caller = fixture.Chat(R"(,"stream":true)", "Last-Event-ID: other\r\n");
  CHECK(fixture.UntilHas(caller, "resume_refused"));
  CHECK(caller.Has(R"("was_run":"no")"));
}

}  // namespace
}  // namespace zinnia
