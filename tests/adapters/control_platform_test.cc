#include <fmt/format.h>

#include <future>
#include <string>
#include <vector>

#include "adapters/control_fakes.h"
#include "adapters/control_raw_http_server.h"
#include "zinnia_adapters/http/http_client.h"
#include "zinnia_adapters/platform/http_engine_orders.h"
#include "zinnia_adapters/platform/http_instance_list.h"
#include "zinnia_adapters/platform/http_platform_store.h"
#include "zinnia_base/time/system_clock.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

constexpr std::chrono::seconds kTimeLimit{10};
constexpr std::size_t kLargestBody = 4'096;

/** An address at which certainly nobody listens: it was free a moment ago and is kept bound. */
class RefusingAddress {
 public:
  RefusingAddress() : m_socket(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {}
  NetworkAddress address() const { return {"127.0.0.1", m_socket.local_endpoint().port()}; }

 private:
  boost::asio::io_context m_context;
  // A bound UDP port says nothing of TCP, which refuses since no socket listens there.
  boost::asio::ip::udp::socket m_socket;
};

}  // namespace

TEST_GROUP(Platform) {
  HttpPlatformStore Store(std::vector<NetworkAddress> addresses) {
    return {m_client, std::move(addresses), kTimeLimit};
  }

  Result<std::uint64_t> Write(HttpPlatformStore store) {
    std::promise<Result<std::uint64_t>> done;
    store.CompareAndSwap("a", 1, "v", std::nullopt, [&](auto r) { done.set_value(std::move(r)); });
    return Await(done.get_future());
  }

  Result<std::optional<StoreRecord>> Read(HttpPlatformStore store) {
    std::promise<Result<std::optional<StoreRecord>>> done;
    store.Get("a", [&](auto r) { done.set_value(std::move(r)); });
    return Await(done.get_future());
  }

  HttpEngineOrders Orders(const NetworkAddress& address) {
    return {m_client, [](auto call) { call(); },
            [address](const auto& name) {
              return name == "draft-1" ? std::optional(address) : std::nullopt;
            },
            kTimeLimit};
  }

  Result<void> Order(HttpEngineOrders orders, const std::string& server = "draft-1") {
    std::promise<Result<void>> done;
    orders.Order(server, {"o-1", {"m", "v1", {0, 8}}, 7},
                 [&](auto r) { done.set_value(std::move(r)); });
    return Await(done.get_future());
  }

  SystemClock m_clock;
  std::shared_ptr<HttpClient> m_client = std::make_shared<HttpClient>(
      m_clock, [](auto call) { call(); },
      HttpClientOptions{.answer = {.body_bytes = kLargestBody}});
};

TEST(Platform, StoreCallsSpeakTheProtocol) {
  RawHttpServer server({RawHttpServer::Json(R"({"version":7})"),
                        RawHttpServer::Json(R"({"record":{"key":"a","version":7,"value":"v"}})"),
                        RawHttpServer::Json(R"({"record":null,"version":9})"),
                        RawHttpServer::Json(R"({"error":"conflict","version":9})", "409 C")});
  LONGS_EQUAL(7, Write(Store({server.address()})).value());
  CHECK((Read(Store({server.address()})).value() == StoreRecord{"a", 7, "v"}));
  CHECK_FALSE(Read(Store({server.address()})).value().has_value());
  CHECK(Write(Store({server.address()})).error().kind == ErrorKind::kStoreConflict);
  const auto requests = server.Requests();
  CHECK(requests[0].find("POST /kv/cas HTTP/1.1") == 0);
  CHECK(requests[0].find(R"({"key":"a","expected":1,"value":"v"})") != std::string::npos);
  CHECK(requests[1].find("POST /kv/get HTTP/1.1") == 0);
}

TEST(Platform, WatchGivesTombstones) {
  RawHttpServer server(
      {RawHttpServer::Json(R"({"records":[{"key":"p/x","version":5,"value":null}],"version":6})")});
  std::promise<Result<StoreBatch>> done;
  auto store = Store({server.address()});
  store.Watch("p/", 4, std::chrono::milliseconds(10),
              [&](auto batch) { done.set_value(std::move(batch)); });
  const auto batch = Await(done.get_future()).value();
  LONGS_EQUAL(6, batch.version);
  CHECK((batch.records == std::vector<StoreRecord>{{"p/x", 5, std::nullopt}}));
}

TEST(Platform, ARefusedConnectionAndA503HadNoEffect) {
  const RefusingAddress nobody;
  CHECK(Write(Store({nobody.address()})).error().kind == ErrorKind::kStoreUnavailable);
  RawHttpServer server({RawHttpServer::Json("{}", "503 Outage")});
  CHECK(Write(Store({server.address()})).error().kind == ErrorKind::kStoreUnavailable);
}

// Symptom: a change that an operator made is undone. Events: a write takes effect, its answer is
// lost, it is sent again to the next address. Cause: a lost answer is taken for a refusal.
TEST(Platform, AWriteWithoutAnswerIsUnknownAndNotSentAgain) {
  RawHttpServer first({""});
  const RefusingAddress second;
  const auto result = Write(Store({first.address(), second.address()}));
  CHECK(result.error().kind == ErrorKind::kStoreOutcomeUnknown);
  LONGS_EQUAL(1, first.Requests().size());
}

// Symptom: as above, seen only after quiet minutes. Events: the store closes a kept connection just
// as a write goes out on it. Cause: HTTP clients usually repeat a request on a new connection.
TEST(Platform, AWriteOnAConnectionThatClosesIsNotSentAgain) {
  RawHttpServer server(
      {RawHttpServer::Json(R"({"version":7})"), "", RawHttpServer::Json(R"({"version":8})")});
  CHECK(Write(Store({server.address()})).has_value());
  CHECK(Write(Store({server.address()})).error().kind == ErrorKind::kStoreOutcomeUnknown);
  LONGS_EQUAL(2, server.Requests().size());
  CHECK(Write(Store({server.address()})).has_value());  // Plays the script to its end.
}

TEST(Platform, AReadOnAConnectionThatClosesIsSentAgain) {
  const std::string found =
      RawHttpServer::Json(R"({"record":{"key":"a","version":7,"value":"v"}})");
  RawHttpServer server({found, "", found});
  CHECK(Read(Store({server.address()})).has_value());
  CHECK(Read(Store({server.address()})).has_value());
  LONGS_EQUAL(3, server.Requests().size());
}

TEST(Platform, TheNextAddressIsTriedWhenTheFirstDidNothing) {
  const RefusingAddress first;
  RawHttpServer second({RawHttpServer::Json(R"({"version":7})")});
  const auto result = Write(Store({first.address(), second.address()}));
  CHECK(result.has_value());
  LONGS_EQUAL(7, *result);
}

// Symptom: the process crashes, or fills its memory. Events: the store answers what is not HTTP,
// not JSON, not the right JSON, or far too much. Cause: the answer is used unchecked.
TEST(Platform, AWriteWithAnUnreadableAnswerIsUnknown) {
  const std::vector<std::string> answers = {
      "\x01\x02garbage\r\n\r\n",
      RawHttpServer::Json("not json"),
      RawHttpServer::Json("[]"),
      RawHttpServer::Json(R"({"version":"x"})"),
      RawHttpServer::Json(R"({"version":7,"x":")" + std::string(kLargestBody, 'x') + R"("})"),
      RawHttpServer::Json(std::string(kLargestBody, '['))};
  for (const std::string& answer : answers) {
    RawHttpServer server({answer});
    const auto result = Write(Store({server.address()}));
    CHECK(result.has_error());
    CHECK(result.error().kind == ErrorKind::kStoreOutcomeUnknown);
  }
}

TEST(Platform, OrdersMapTheirFailures) {
  const RefusingAddress nobody;
  CHECK(Order(Orders(nobody.address())).error().kind == ErrorKind::kBackendUnavailable);
  CHECK(Order(Orders(nobody.address()), "stranger").error().kind == ErrorKind::kNotFound);
  RawHttpServer engine({RawHttpServer::Json("{}", "202 Accepted"),
                        RawHttpServer::Json(R"({"error":"stale_epoch"})", "409 Conflict"),
                        RawHttpServer::Json("{}", "400 Bad"), ""});
  CHECK(Order(Orders(engine.address())).has_value());
  CHECK(Order(Orders(engine.address())).error().kind == ErrorKind::kStaleEpoch);
  CHECK(Order(Orders(engine.address())).error().kind == ErrorKind::kBackendRejected);
  CHECK(Order(Orders(engine.address())).error().kind == ErrorKind::kOutcomeUnknown);
  CHECK(engine.Requests()[0].find(R"("epoch":7,"valid_for_ms":5000})") != std::string::npos);
}

TEST(Platform, ReadsTheStateOfAnEngine) {
  RawHttpServer engine({RawHttpServer::Json(
      R"({"model":"m","version":"v1","first_layer":0,"end_layer":8,"loading":null,"leaving":true,)"
      R"("checks_fencing":true,"highest_epoch":4,"incarnation":2,"load":{"running":3,"queued":5}})")});
  std::promise<Result<EngineState>> done;
  auto orders = Orders(engine.address());
  orders.ReadState("draft-1", [&](auto state) { done.set_value(std::move(state)); });
  const EngineState state = Await(done.get_future()).value();
  CHECK((state.loaded == LoadedRange{"m", "v1", {0, 8}}));
  CHECK(!state.loading && state.leaving && state.checks_fencing);
  LONGS_EQUAL(4, state.highest_epoch);
  LONGS_EQUAL(3, state.running);
  LONGS_EQUAL(5, state.queued);
}

TEST_GROUP(PlatformInstanceList) {
  SystemClock clock;
  std::shared_ptr<HttpClient> client = std::make_shared<HttpClient>(
      clock, [](const std::function<void()>& call) { call(); }, HttpClientOptions{});

  static std::string Row(const std::string& name, const std::string& fields) {
    return fmt::format(R"({{"name":"{}","failure_domain":"f","pool":"p",{}}})", name, fields);
  }

  static std::string SoundRow(const std::string& name) {
    return Row(name, R"("address":"127.0.0.1:1","accelerator":"small","incarnation":2)");
  }

  Result<InstanceListing> Read(const std::string& body) const {
    RawHttpServer platform({RawHttpServer::Json(body)});
    HttpInstanceList list(client, platform.address(), kTimeLimit);
    std::promise<Result<InstanceListing>> done;
    list.Read([&](auto listing) { done.set_value(std::move(listing)); });
    return Await(done.get_future());
  }
};

TEST(PlatformInstanceList, ReadsServersAndInstances) {
  const auto listing = Read(
      R"({"servers":[{"name":"d","address":"127.0.0.1:1","failure_domain":"f","accelerator":"small",)"
      R"("pool":"p","incarnation":2,"checks_fencing":false,"leaving":true}],"instances":[]})");
  STRCMP_EQUAL("d", listing->servers[0].server.name.c_str());
  CHECK(listing->servers[0].leaving);
  CHECK(listing->unreadable_servers.empty());
}

// Guards against a list that is followed no longer since another writer left one odd row in it.
TEST(PlatformInstanceList, AnOddRowDoesNotHideTheOthers) {
  const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
  const std::string address = R"("address":"127.0.0.1:1")";
  const std::vector<std::string> odd_rows = {
      Row("odd", R"("incarnation":2,"address":"127.0.0.1:99999")"),
      Row("odd", R"("incarnation":2,"address":"127.0.0.1:0")"),
      Row("odd", R"("incarnation":2,"address":"some-host:1")"),
      Row("odd", address + R"(,"incarnation":-1)"),
      Row("odd", address + R"(,"incarnation":1e30)"),
      Row("odd", address + R"(,"incarnation":1e99999999999)"),
      Row("odd", address + R"(,"incarnation":2,"accelerator":"abacus")"),
      Row("odd", address + R"(,"incarnation":2,"note":)" + deep),
      Row("odd", address + R"(,"incarnation":2,"note":"\q")"),
      R"({"name":7})",
      "7",
      "null",
      deep};
  for (const std::string& odd : odd_rows) {
    const auto listing = Read(fmt::format(R"({{"servers":[{},{},{}],"instances":[{}, {}]}})",
                                          SoundRow("a"), odd, SoundRow("b"), odd,
                                          Row("i", R"("peer_address":"127.0.0.1:2","region":"r",)"
                                                   R"("start":1)")));
    CHECK_TRUE_TEXT(listing.has_value(), odd.substr(0, 90).c_str());
    CHECK_EQUAL(2U, listing->servers.size());
    STRCMP_EQUAL("b", listing->servers[1].server.name.c_str());
    CHECK_EQUAL(1U, listing->instances.size());
    CHECK_FALSE(listing->faults.empty());
  }
}

// Guards against a server that is taken for gone since its row can't be read for a while.
TEST(PlatformInstanceList, AnOddRowStillNamesItsServer) {
  const auto listing =
      Read(fmt::format(R"({{"servers":[{}],"instances":[]}})",
                       Row("odd", R"("address":"127.0.0.1:99999","incarnation":2)")));
  CHECK_TRUE(listing.has_value());
  CHECK(listing->unreadable_servers == std::vector<BackendServerName>{"odd"});
}

TEST(PlatformInstanceList, WhatIsNoListIsRefusedWhole) {
  for (const std::string& body :
       {std::string(), std::string("[]"), std::string(R"({"servers":[]})"),
        std::string(R"({"servers":7,"instances":[]})"),
        R"({"servers":[)" + SoundRow("a") + R"(,"instances":[]})",
        R"({"servers":[)" + SoundRow("a") + R"(],"instances":[])"}) {
    CHECK_TRUE_TEXT(Read(body).has_error(), body.c_str());
    CHECK(Read(body).error().kind == ErrorKind::kStoreUnavailable);
  }
}

}  // namespace zinnia
