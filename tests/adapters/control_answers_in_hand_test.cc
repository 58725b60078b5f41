#include "zinnia_adapters/http/answers_in_hand.h"

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "adapters/control_fakes.h"
#include "adapters/control_pouring_servers.h"
#include "adapters/control_raw_http_server.h"
#include "zinnia_adapters/http/http_client.h"
#include "zinnia_base/time/system_clock.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

TEST_GROUP(AnswersInHand) {
  AnswersInHand calls{100};
};

TEST(AnswersInHand, NoneIsLetGoUpToTheBound) {
  calls.Set(1, 60);
  calls.Set(2, 40);
  CHECK_FALSE(calls.TakeExcess().has_value());
  CHECK_EQUAL(100U, calls.Bytes());
}

TEST(AnswersInHand, TheCallThatHoldsMostIsLetGoAndNotTheNewest) {
  calls.Set(1, 20);
  calls.Set(2, 60);
  calls.Set(3, 21);
  const auto excess = calls.TakeExcess();
  CHECK_TRUE(excess.has_value());
  CHECK_EQUAL(2U, excess->call);
  CHECK_EQUAL(60U, excess->bytes);
  CHECK_EQUAL(41U, calls.Bytes());
  CHECK_FALSE(calls.TakeExcess().has_value());
}

TEST(AnswersInHand, OfCallsThatHoldAlikeTheOldestIsLetGo) {
  calls.Set(4, 51);
  calls.Set(3, 51);
  CHECK_EQUAL(3U, calls.TakeExcess()->call);
}

TEST(AnswersInHand, CallsAreLetGoUntilTheRestIsWithinTheBound) {
  for (std::size_t call = 1; call <= 5; ++call) {
    calls.Set(call, 30);
  }
  CHECK_EQUAL(1U, calls.TakeExcess()->call);
  CHECK_EQUAL(2U, calls.TakeExcess()->call);
  CHECK_FALSE(calls.TakeExcess().has_value());
}

TEST(AnswersInHand, WhatACallHeldBeforeDoesNotCount) {
  calls.Set(1, 90);
  calls.Set(1, 10);
  calls.Set(2, 90);
  CHECK_FALSE(calls.TakeExcess().has_value());
  calls.Remove(2);
  calls.Remove(2);
  CHECK_EQUAL(10U, calls.Bytes());
}

namespace {

constexpr std::size_t kServers = 30;
constexpr std::chrono::seconds kPourLimit{10};

constexpr std::chrono::microseconds kSampleInterval{100};

/** Read buffers, heads, requests and the frames of coroutines. */
constexpr std::size_t kBytesBesideTheAnswer = std::size_t{96} << 10;

std::size_t AllocatedBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/** Results of calls that run at once. Declare it before the client that fills it. */
struct Results {
  std::mutex mutex;
  std::vector<HttpResult> all;

  std::size_t Count() {
    const std::lock_guard lock(mutex);
    return all.size();
  }
};

}  // namespace

/** What the answers of all calls of an HttpClient hold together. */
TEST_GROUP(HttpClientBounds) {
  SystemClock m_clock;
  Results m_results;
  std::unique_ptr<HttpClient> m_client;

  void SetOptions(HttpClientOptions options) {
    m_client = std::make_unique<HttpClient>(
        m_clock, [](auto call) { call(); }, options);
  }

  void Call(const NetworkAddress& address, Duration limit) {
    m_client->Send(address, HttpRequest{}, limit, [this](HttpResult result) {
      const std::lock_guard lock(m_results.mutex);
      m_results.all.push_back(std::move(result));
    });
  }

  /** Returns the most bytes that were allocated meanwhile, beyond those at its start. */
  std::size_t Wait(std::size_t results) {
    const std::size_t before = AllocatedBytes();
    std::size_t most = before;
    const auto give_up_at = std::chrono::steady_clock::now() + 2 * kPourLimit;
    while (m_results.Count() < results && std::chrono::steady_clock::now() < give_up_at) {
      most = std::max(most, AllocatedBytes());
      std::this_thread::sleep_for(kSampleInterval);
    }
    CHECK_EQUAL(results, m_results.Count());
    return most - before;
  }

  void CheckPouring(const HttpClientOptions& options, std::size_t most_bytes) {
    PouringServers servers(kServers);
    SetOptions(options);
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < kServers; ++i) {
      Call(servers.Address(i), kPourLimit);
    }
    const std::size_t most = Wait(kServers);
    CHECK_TRUE(std::chrono::steady_clock::now() - begin < kPourLimit);
    CHECK_COMPARE(most, <, most_bytes);
    for (const HttpResult& result : m_results.all) {
      CHECK_TRUE(result.has_error());
      CHECK_TRUE(result.error().stage == HttpFailureStage::kBadAnswer);
      CHECK_TRUE(result.error().message.starts_with(PouringServers::kIp));
    }
    const auto give_up_at = std::chrono::steady_clock::now() + kPourLimit;
    while (servers.Closed() < servers.Opened() && std::chrono::steady_clock::now() < give_up_at) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    CHECK_EQUAL(static_cast<int>(kServers), servers.Opened());
    CHECK_EQUAL(static_cast<int>(kServers), servers.Closed());
  }
};

TEST(HttpClientBounds, ServersThatPourAtOnceHoldNoMoreThanTheSum) {
  const HttpClientOptions options;
  CheckPouring(options, (std::size_t{24} << 20) + kServers * kBytesBesideTheAnswer);
}

TEST(HttpClientBounds, ServersThatPourAtOnceHoldNoMoreThanTheirBodies) {
  HttpClientOptions options;
  options.answer.body_bytes = std::size_t{256} << 10;
  CheckPouring(options, kServers * (options.answer.body_bytes * 3 / 2 + kBytesBesideTheAnswer));
  for (const HttpResult& result : m_results.all) {
    CHECK_TRUE(result.error().message.ends_with("more than body_bytes = 262144"));
  }
}

TEST(HttpClientBounds, TheCallThatIsEndedNamesItsAddressTheBoundAndItsBytes) {
  PouringServers servers(1);
  HttpClientOptions options;
  options.answers_in_hand_bytes = 100'000;
  SetOptions(options);
  Call(servers.Address(0), kPourLimit);
  Wait(1);
  const HttpFailure failure = m_results.all[0].error();
  CHECK_TRUE(failure.stage == HttpFailureStage::kBadAnswer);
  CHECK_TRUE(failure.message.starts_with(
      servers.Address(0).ToString() +
      ": all answers hold more than answers_in_hand_bytes = 100000, this one "));
}

TEST(HttpClientBounds, ALateCallThatHoldsLittleIsAnsweredWhileOthersAreEnded) {
  PouringServers servers(kServers);
  const std::string small = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no<pause>k";
  RawHttpServer sound({small, small});
  SetOptions(HttpClientOptions{});
  for (std::size_t i = 0; i < kServers; ++i) {
    Call(servers.Address(i), kPourLimit);
  }
  Call(sound.address(), kPourLimit);
  Wait(kServers + 1);
  const auto answered = std::count_if(m_results.all.begin(), m_results.all.end(),
                                      [](const HttpResult& result) { return result.has_value(); });
  CHECK_EQUAL(1, answered);
}

TEST(HttpClientBounds, AnAnswerAsLongAsTheBodyBoundIsRead) {
  const HttpClientOptions options;
  const std::string body(options.answer.body_bytes, 'x');
  RawHttpServer exact({RawHttpServer::Json(body), RawHttpServer::Json(body + "x")});
  SetOptions(options);
  Call(exact.address(), kPourLimit);
  Wait(1);
  CHECK_TRUE(m_results.all[0].has_value());
  CHECK_TRUE(m_results.all[0]->body == body);
  Call(exact.address(), kPourLimit);
  Wait(2);
  CHECK_TRUE(m_results.all[1].has_error());
}

}  // namespace zinnia
