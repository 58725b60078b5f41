#include <string>

#include "http_client.h"
#include "process_harness.h"

// The macros of CppUTest come after the standard headers.
#include <CppUTest/TestHarness.h>

namespace zinnia::testing {

using namespace std::chrono_literals;

TEST_GROUP(PlatformStandins) {
  ProcessHarness m_harness;
};

TEST(PlatformStandins, TheStoreWritesOnlyAtTheExpectedVersion) {
  HttpClient store(m_harness.StartStandin("store").address);
  STRCMP_EQUAL(R"({"version":1})",
               store.Post("/kv/cas", R"({"key":"a","expected":0,"value":"x"})").body.c_str());
  const HttpAnswer conflict = store.Post("/kv/cas", R"({"key":"a","expected":0,"value":"y"})");
  LONGS_EQUAL(409, conflict.status);
  STRCMP_EQUAL(R"({"error":"conflict","version":1})", conflict.body.c_str());
  STRCMP_EQUAL(R"({"version":2})",
               store.Post("/kv/delete", R"({"key":"a","expected":1})").body.c_str());
  STRCMP_EQUAL(R"({"records":[{"key":"a","version":2,"value":null}],"version":2})",
               store.Post("/kv/watch", R"({"prefix":"a","after":1,"wait_ms":9000})").body.c_str());
}

TEST(PlatformStandins, ALostAnswerOfTheStoreHidesAWriteThatTookEffect) {
  // The store writes, the connection ends before the answer; whoever writes again in the belief
  // that nothing happened meets a conflict with itself.
  HttpClient store(m_harness.StartStandin("store").address);
  store.Post("/control", R"({"lose_answers_next":1,"only":"/kv/cas"})");
  LONGS_EQUAL(0, store.Post("/kv/cas", R"({"key":"a","expected":0,"value":"x"})").status);
  STRCMP_EQUAL(R"({"record":{"key":"a","version":1,"value":"x"},"version":1})",
               store.Post("/kv/get", R"({"key":"a"})").body.c_str());
}

TEST(PlatformStandins, AnOutageOfTheStoreHasNoEffectOnItsRecords) {
  HttpClient store(m_harness.StartStandin("store").address);
  store.Post("/control", R"({"outage":true})");
  LONGS_EQUAL(503, store.Post("/kv/cas", R"({"key":"a","expected":0,"value":"x"})").status);
  store.Post("/control", R"({"outage":false})");
  STRCMP_EQUAL(R"({"record":null,"version":0})",
               store.Post("/kv/get", R"({"key":"a"})").body.c_str());
}

TEST(PlatformStandins, ALeaseThatIsNotKeptAliveTakesItsRecordsWithIt) {
  HttpClient store(m_harness.StartStandin("store").address);
  store.Post("/kv/lease/grant", R"({"ttl_ms":30})");
  store.Post("/kv/cas", R"({"key":"holder","expected":0,"value":"me","lease":1})");
  const HttpAnswer watch =
      store.Post("/kv/watch", R"({"prefix":"holder","after":1,"wait_ms":4000})");
  STRCMP_EQUAL(R"({"records":[{"key":"holder","version":2,"value":null}],"version":2})",
               watch.body.c_str());
  LONGS_EQUAL(404, store.Post("/kv/lease/keepalive", R"({"lease":1})").status);
  LONGS_EQUAL(404,
              store.Post("/kv/cas", R"({"key":"b","expected":0,"value":"","lease":1})").status);
}

TEST(PlatformStandins, TheServiceRunsACallWhoseAnswerIsLostButNotADroppedOne) {
  HttpClient service(m_harness.StartStandin("service").address);
  service.SetHeader("X-Request-Id", "r1");
  service.Post("/control", R"({"drop_next":1})");
  LONGS_EQUAL(0, service.Post("/bookings", "bed 7").status);
  STRCMP_EQUAL(R"({"count":0})", service.Get("/bookings/count").body.c_str());
  service.Post("/control", R"({"lose_answers_next":1})");
  LONGS_EQUAL(0, service.Post("/bookings", "bed 7").status);
  LONGS_EQUAL(200, service.Post("/bookings", "bed 7").status);
  STRCMP_EQUAL(R"({"rows":[{"request_id":"r1","body":"bed 7","count":2}]})",
               service.Get("/bookings/ledger").body.c_str());
}

TEST(PlatformStandins, TheInstanceListLagsBehindReality) {
  HttpClient list(m_harness.StartStandin("list").address);
  list.Post("/control", R"({"list":{"servers":[],"instances":["first"]}})");
  const std::string first = list.Get("/instances").body;
  STRCMP_EQUAL(R"({"servers":[],"instances":["first"]})", first.c_str());
  list.Post("/control", R"({"list_lag_ms":3600000,"list":{"servers":[],"instances":[]}})");
  STRCMP_EQUAL(first.c_str(), list.Get("/instances").body.c_str());
  list.Post("/control", R"({"list_lag_ms":1,"list":{"servers":[],"instances":["last"]}})");
  std::string served = first;
  while (served == first) {
    served = list.Get("/instances").body;
  }
  STRCMP_EQUAL(R"({"servers":[],"instances":["last"]})", served.c_str());
}

}  // namespace zinnia::testing
