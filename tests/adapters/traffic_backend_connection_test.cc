#include "zinnia_adapters/http/backend_connection.h"

#include <optional>
#include <string>

#include "adapters/client_answer_cases.h"
#include "adapters/control_raw_http_server.h"
#include "tests/adapters/traffic_loop.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

namespace {

constexpr std::chrono::seconds kTimeLimit{5};

}  // namespace

/** What BackendConnection takes for the answer to a request, and when it may be used again. */
TEST_GROUP(BackendConnectionAnswers) {
  boost::asio::io_context loop;

  std::shared_ptr<BackendConnection> Connect(const RawHttpServer& server) {
    return BackendConnection::Create(loop, server.address());
  }

  ExchangeOutcome Exchange(BackendConnection & connection, Duration limit = kTimeLimit,
                           boost::beast::http::verb method = boost::beast::http::verb::get) {
    std::optional<ExchangeOutcome> outcome;
    connection.Exchange(BackendRequest(method, "/", 11), limit,
                        [&](ExchangeOutcome result) { outcome = std::move(result); });
    CHECK_TRUE(RunUntil(loop, [&] { return outcome.has_value(); }));
    return std::move(*outcome);
  }
};

TEST(BackendConnectionAnswers, TheAnswerBehindInterimHeadsIsTheAnswer) {
  for (const ClientAnswerCase& one : kAnswersBehindInterimHeads) {
    RawHttpServer server({std::string(one.bytes), SoundAnswer()});
    const auto connection = Connect(server);
    const ExchangeOutcome outcome = Exchange(*connection);
    CHECK_TRUE_TEXT(outcome.failure == ExchangeFailure::kNone, one.name.data());
    CHECK_EQUAL_TEXT(200U, outcome.response.result_int(), one.name.data());
    CHECK_EQUAL_TEXT(std::string("ok"), outcome.response.body(), one.name.data());
    CHECK_TRUE_TEXT(connection->IsReusable(), one.name.data());
    CHECK_EQUAL_TEXT(std::string("second"), Exchange(*connection).response.body(), one.name.data());
  }
}

TEST(BackendConnectionAnswers, WhatIsNoAnswerIsLostAndEndsTheConnection) {
  for (const ClientAnswerCase& one : kNoAnswersOfServers) {
    RawHttpServer server({std::string(one.bytes)});
    const auto connection = Connect(server);
    const ExchangeOutcome outcome = Exchange(*connection);
    CHECK_TRUE_TEXT(outcome.failure == ExchangeFailure::kLost, one.name.data());
    CHECK_FALSE_TEXT(connection->IsReusable(), one.name.data());
    CHECK_FALSE_TEXT(connection->IsConnected(), one.name.data());
  }
}

TEST(BackendConnectionAnswers, AConnectionWithBytesBehindAnAnswerIsNotUsedAgain) {
  for (const ClientAnswerCase& one : kAnswersWithBytesBehind) {
    RawHttpServer server({std::string(one.bytes), SoundAnswer()});
    const auto connection = Connect(server);
    const ExchangeOutcome outcome = Exchange(*connection);
    CHECK_TRUE_TEXT(outcome.failure == ExchangeFailure::kNone, one.name.data());
    CHECK_EQUAL_TEXT(std::string("ok"), outcome.response.body(), one.name.data());
    server.AwaitAnswers(1);
    CHECK_FALSE_TEXT(connection->IsReusable(), one.name.data());
  }
}

TEST(BackendConnectionAnswers, InterimHeadsWithoutEndAreLost) {
  RawHttpServer server({TooManyInterimHeads()});
  const auto connection = Connect(server);
  CHECK_TRUE(Exchange(*connection).failure == ExchangeFailure::kLost);
}

TEST(BackendConnectionAnswers, AnInterimHeadDoesNotStretchTheTime) {
  RawHttpServer server({"HTTP/1.1 100 Continue\r\n\r\n", SoundAnswer()});
  const auto connection = Connect(server);
  CHECK_TRUE(Exchange(*connection, std::chrono::milliseconds(100)).failure ==
             ExchangeFailure::kTimedOut);
  CHECK_FALSE(connection->IsConnected());
}

TEST(BackendConnectionAnswers, AnAnswerWithoutALengthLastsUntilTheConnectionEnds) {
  RawHttpServer server({"HTTP/1.1 200 OK\r\n\r\no<pause>k<end>"});
  const auto connection = Connect(server);
  const ExchangeOutcome outcome = Exchange(*connection);
  CHECK_TRUE(outcome.failure == ExchangeFailure::kNone);
  CHECK_EQUAL(std::string("ok"), outcome.response.body());
  CHECK_FALSE(connection->IsReusable());
}

TEST(BackendConnectionAnswers, AnAnswerToHeadHasNoBodyWhateverItsHeadSays) {
  RawHttpServer server({"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", SoundAnswer()});
  const auto connection = Connect(server);
  const ExchangeOutcome outcome = Exchange(*connection, kTimeLimit, boost::beast::http::verb::head);
  CHECK_TRUE(outcome.failure == ExchangeFailure::kNone);
  CHECK_EQUAL(std::string(), outcome.response.body());
  CHECK_EQUAL(std::string("second"), Exchange(*connection).response.body());
}

}  // namespace zinnia
