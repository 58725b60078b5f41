#include <fmt/format.h>

#include <boost/json.hpp>
#include <csignal>
#include <future>

#include "fleet_fixture.h"
#include "polling.h"

// The macros of CppUTest come after the standard headers.
#include <CppUTest/TestHarness.h>

namespace zinnia::testing {

/** Promise 7: a change is in force everywhere, and no two operators overwrite each other. */
TEST_GROUP(SystemConfiguration) {
  Fleet m_fleet;

  std::int64_t Accept(std::size_t instance, const std::string& command) {
    const HttpAnswer answer = m_fleet.Change(instance, command);
    LONGS_EQUAL(200, answer.status);
    return answer.status == 200 ? answer.Json().at("revision").to_number<std::int64_t>() : 0;
  }

  /** Whether the revision comes to be known there, and the limit to be what requests meet. */
  bool InForce(std::size_t instance, std::int64_t revision, int max_tokens) {
    return Eventually([&] {
      return m_fleet.Revision(instance) >= revision && !Takes(instance, max_tokens + 1) &&
             Takes(instance, max_tokens);
    });
  }

  /** Whether an answer of so many tokens may be asked for; it is left as soon as it begins. */
  bool Takes(std::size_t instance, int max_tokens) {
    ChatCall call;
    call.max_tokens = max_tokens;
    call.on_progress = [](const StreamedAnswer& so_far) { return so_far.tokens.empty(); };
    return m_fleet.Chat(instance, call).error_kind != "invalid_request";
  }
};

TEST(SystemConfiguration, AChangeThroughOneInstanceIsInForceOnAll) {
  const std::int64_t revision = Accept(1, "change model msaidizi set max_tokens = 50");
  for (const std::size_t instance : {0, 1, 2}) {
    CHECK_TRUE(InForce(instance, revision, 50));
  }
  const std::vector<std::string> everywhere(3, std::to_string(revision));
  CHECK_TRUE(Eventually([&] { return m_fleet.Column(0, "instances", "revision") == everywhere; }));
}

TEST(SystemConfiguration, OfOperatorsThatRaceExactlyOneWins) {
  // Symptom: an operator's accepted change is gone.
  // Events: six operators order changes of one entry against the same revision, through all
  // instances at once.
  // Cause: the change is checked against the instance's copy, and the store's version is not.
  constexpr int kOperators = 6;
  const std::int64_t revision = m_fleet.Revision(0);
  for (const std::size_t instance : {1, 2}) {
    CHECK_TRUE(InForce(instance, revision, 1'000));
  }
  std::vector<std::future<HttpAnswer>> answers;
  answers.reserve(kOperators);
  for (int number = 0; number < kOperators; ++number) {
    answers.push_back(std::async(std::launch::async, [=, this] {
      return m_fleet.Command(static_cast<std::size_t>(number % 3),
                             fmt::format("change model msaidizi set max_tokens = {} against {}",
                                         100 + number, revision));
    }));
  }
  int winner = -1;
  std::int64_t newer = 0;
  std::vector<HttpAnswer> refusals;
  for (int number = 0; number < kOperators; ++number) {
    HttpAnswer answer = answers[static_cast<std::size_t>(number)].get();
    if (answer.status == 200) {
      LONGS_EQUAL(-1, winner);
      winner = number;
      newer = answer.Json().at("revision").to_number<std::int64_t>();
    } else {
      refusals.push_back(std::move(answer));
    }
  }
  LONGS_EQUAL(kOperators - 1, refusals.size());
  for (const HttpAnswer& refusal : refusals) {
    STRCMP_EQUAL("revision_conflict/no", ProblemOf(refusal).c_str());
    STRCMP_CONTAINS(std::to_string(newer).c_str(), refusal.body.c_str());
  }
  for (const std::size_t instance : {0, 1, 2}) {
    CHECK_TRUE(InForce(instance, newer, 100 + winner));
  }
}

TEST(SystemConfiguration, WithoutTheStoreChangesAreRefusedAndNewInstancesServe) {
  // Symptom: a store outage stops the fleet from growing, or splits its configuration.
  // Events: the store is down; an operator orders a change; an instance starts.
  // Cause: an instance that starts can get the configuration from the store only.
  const std::int64_t revision = m_fleet.Revision(0);
  Fleet::Control(m_fleet.Store(), R"({"outage":true})");
  const HttpAnswer refused = m_fleet.Change(0, "change model msaidizi set max_tokens = 50");
  STRCMP_EQUAL("store_unavailable/no", ProblemOf(refused).c_str());
  const std::size_t added = m_fleet.AddInstance();
  CHECK_TRUE(m_fleet.WaitUntilReady(added));
  for (const std::size_t instance : {std::size_t{0}, std::size_t{1}, std::size_t{2}, added}) {
    LONGS_EQUAL(revision, m_fleet.Revision(instance));
  }
}

TEST(SystemConfiguration, AnInstanceThatWakesCatchesUpAndStaysThere) {
  // Symptom: a limit that was lowered is the old one again, now and then.
  // Events: an instance freezes, the limit changes meanwhile, it wakes.
  // Cause: it believes its old copy, or spreads it to the others as news.
  m_fleet.Instance(2).process->Signal(SIGSTOP);
  const std::int64_t revision = Accept(0, "change model msaidizi set max_tokens = 50");
  CHECK_TRUE(InForce(1, revision, 50));
  m_fleet.Instance(2).process->Signal(SIGCONT);
  CHECK_TRUE(InForce(2, revision, 50));
  for (int times = 0; times < 20; ++times) {
    for (const std::size_t instance : {0, 1, 2}) {
      CHECK_FALSE(Takes(instance, 51));
      LONGS_EQUAL(revision, m_fleet.Revision(instance));
    }
  }
  const std::int64_t next = Accept(2, "change model msaidizi set max_tokens = 40");
  for (const std::size_t instance : {0, 1, 2}) {
    CHECK_TRUE(InForce(instance, next, 40));
  }
}

}  // namespace zinnia::testing
