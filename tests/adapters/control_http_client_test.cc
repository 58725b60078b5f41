#include "zinnia_adapters/http/http_client.h"

#include <future>
#include <string>
#include <utility>
#include <vector>

#include "adapters/client_answer_cases.h"
#include "adapters/control_fakes.h"
#include "adapters/control_raw_http_server.h"
#include "zinnia_base/time/system_clock.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

namespace {

constexpr std::chrono::seconds kTimeLimit{5};

}  // namespace

/** What HttpClient takes for the answer to a call, and which connections it uses again. */
TEST_GROUP(HttpClientAnswers) {
  HttpResult Call(const RawHttpServer& server, const std::string& method = "GET") {
    HttpRequest request;
    request.method = method;
    request.repeatable = true;
    std::promise<HttpResult> done;
    m_client->Send(server.address(), std::move(request), kTimeLimit,
                   [&](HttpResult result) { done.set_value(std::move(result)); });
    return Await(done.get_future());
  }

  SystemClock m_clock;
  std::shared_ptr<HttpClient> m_client = std::make_shared<HttpClient>(
      m_clock, [](auto call) { call(); }, HttpClientOptions{});
};

TEST(HttpClientAnswers, TheAnswerBehindInterimHeadsIsTheAnswer) {
  for (const ClientAnswerCase& one : kAnswersBehindInterimHeads) {
    RawHttpServer server({std::string(one.bytes), SoundAnswer()});
    const HttpResult result = Call(server);
    CHECK_TRUE_TEXT(result.has_value(), one.name.data());
    CHECK_EQUAL_TEXT(200U, result->status, one.name.data());
    CHECK_EQUAL_TEXT(std::string("ok"), result->body, one.name.data());
    const HttpResult next = Call(server);
    CHECK_TRUE_TEXT(next.has_value(), one.name.data());
    CHECK_EQUAL_TEXT(std::string("second"), next->body, one.name.data());
    CHECK_EQUAL_TEXT(1, server.Connections(), one.name.data());
    CHECK_EQUAL_TEXT(2U, server.Requests().size(), one.name.data());
  }
}

TEST(HttpClientAnswers, WhatIsNoAnswerIsABadOneAndEndsTheConnection) {
  for (const ClientAnswerCase& one : kNoAnswersOfServers) {
    RawHttpServer server({std::string(one.bytes), SoundAnswer()});
    const HttpResult result = Call(server);
    CHECK_TRUE_TEXT(result.has_error(), one.name.data());
    CHECK_TRUE_TEXT(result.error().stage == HttpFailureStage::kBadAnswer, one.name.data());
    CHECK_TRUE_TEXT(result.error().message.starts_with(server.address().ToString()),
                    one.name.data());
    const HttpResult next = Call(server);
    CHECK_TRUE_TEXT(next.has_value(), one.name.data());
    CHECK_EQUAL_TEXT(std::string("second"), next->body, one.name.data());
    CHECK_EQUAL_TEXT(2, server.Connections(), one.name.data());
    CHECK_EQUAL_TEXT(2U, server.Requests().size(), one.name.data());
  }
}

TEST(HttpClientAnswers, BytesBehindAnAnswerAreNoAnswerToTheNextCall) {
  for (const ClientAnswerCase& one : kAnswersWithBytesBehind) {
    RawHttpServer server({std::string(one.bytes), SoundAnswer()});
    const HttpResult result = Call(server);
    CHECK_TRUE_TEXT(result.has_value(), one.name.data());
    CHECK_EQUAL_TEXT(std::string("ok"), result->body, one.name.data());
    server.AwaitAnswers(1);
    const HttpResult next = Call(server);
    CHECK_TRUE_TEXT(next.has_value(), one.name.data());
    CHECK_EQUAL_TEXT(std::string("second"), next->body, one.name.data());
    CHECK_EQUAL_TEXT(2, server.Connections(), one.name.data());
  }
}

TEST(HttpClientAnswers, InterimHeadsWithoutEndAreABadAnswer) {
  RawHttpServer server({TooManyInterimHeads()});
  const HttpResult result = Call(server);
  CHECK_TRUE(result.has_error());
  CHECK_TRUE(result.error().stage == HttpFailureStage::kBadAnswer);
}

TEST(HttpClientAnswers, AnAnswerToHeadHasNoBodyWhateverItsHeadSays) {
  RawHttpServer server(
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", SoundAnswer()});
  const HttpResult result = Call(server, "HEAD");
  CHECK_TRUE(result.has_value());
  CHECK_EQUAL(std::string(), result->body);
  CHECK_EQUAL(std::string("second"), Call(server)->body);
  CHECK_EQUAL(1, server.Connections());
}

TEST(HttpClientAnswers, WhatIsBeyondABoundIsABadAnswerThatNamesIt) {
  const std::string many(std::size_t{80} << 10, 'x');
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string hints;
  for (int head = 0; head < 3; ++head) {
    hints += "HTTP/1.1 103 Early Hints\r\nLink: " + many.substr(0, 30'000) + "\r\n\r\n";
  }
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"head_bytes", "HTTP/1.1 200 OK\r\nX-Many: " + many},
      {"head_bytes", "HTTP/1.1 103 Early Hints\r\nX-Many: " + many},
      {"interim_bytes", hints},
      {"line_bytes", chunked + "2;" + many},
      {"line_bytes", chunked + "2\r\nok\r\n0\r\nX-Many: " + many},
      {"body_bytes", "HTTP/1.1 200 OK\r\nContent-Length: 8388609\r\n\r\n"},
  };
  for (const auto& [bound, bytes] : cases) {
    RawHttpServer server({bytes, SoundAnswer()});
    const HttpResult result = Call(server);
    CHECK_TRUE_TEXT(result.has_error(), bound.c_str());
    CHECK_TRUE_TEXT(result.error().stage == HttpFailureStage::kBadAnswer, bound.c_str());
    CHECK_TRUE_TEXT(result.error().message.find("more than " + bound) != std::string::npos,
                    result.error().message.c_str());
  }
}

TEST(HttpClientAnswers, AnInterimHeadDoesNotStretchTheTime) {
  RawHttpServer server({"HTTP/1.1 100 Continue\r\n\r\n", SoundAnswer()});
  std::promise<HttpResult> done;
  m_client->Send(server.address(), HttpRequest{}, std::chrono::milliseconds(100),
                 [&](HttpResult result) { done.set_value(std::move(result)); });
  const HttpResult result = Await(done.get_future());
  CHECK_TRUE(result.has_error());
  CHECK_TRUE(result.error().stage == HttpFailureStage::kNoAnswer);
  CHECK_EQUAL(1U, server.Requests().size());
}

// A server that has sent a head of any kind has seen the request.
TEST(HttpClientAnswers, AConnectionThatEndsBehindAnInterimHeadIsNotTriedAgain) {
  RawHttpServer server({SoundAnswer(), "HTTP/1.1 100 Continue\r\n\r\n<end>", SoundAnswer()});
  CHECK_TRUE(Call(server).has_value());
  const HttpResult result = Call(server);
  CHECK_TRUE(result.has_error());
  CHECK_TRUE(result.error().stage == HttpFailureStage::kNoAnswer);
  CHECK_EQUAL(2U, server.Requests().size());
  CHECK_EQUAL(1, server.Connections());
}

TEST(HttpClientAnswers, AnAnswerThatIsCutShortIsNone) {
  for (const std::string bytes : {"HTTP/1.1 200 OK\r\nContent-Le<end>",
                                  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf<end>",
                                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                  "4\r\nhalf\r\n<end>"}) {
    RawHttpServer server({bytes, SoundAnswer()});
    const HttpResult result = Call(server);
    CHECK_TRUE_TEXT(result.has_error(), bytes.c_str());
    CHECK_TRUE_TEXT(result.error().stage == HttpFailureStage::kNoAnswer, bytes.c_str());
    CHECK_EQUAL_TEXT(1U, server.Requests().size(), bytes.c_str());
  }
}

TEST(HttpClientAnswers, AnAnswerWithoutALengthLastsUntilTheConnectionEnds) {
  RawHttpServer server({"HTTP/1.1 200 OK\r\n\r\no<pause>k<end>", SoundAnswer()});
  CHECK_EQUAL(std::string("ok"), Call(server)->body);
  CHECK_EQUAL(std::string("second"), Call(server)->body);
}

}  // namespace zinnia
