#include <fmt/format.h>

#include <csignal>
#include <future>

#include "fleet_fixture.h"
#include "polling.h"

// The macros of CppUTest come after the standard headers.
#include <CppUTest/TestHarness.h>

namespace zinnia::testing {

namespace {

constexpr const char* kBody = R"({"bed":12})";
constexpr const char* kLoseNextAnswer = R"({"lose_answers_next":1,"only":"/bookings"})";

/** Long enough that the caller, or a signal, comes before the service's answer. */
constexpr const char* kSlowAnswers = R"({"delay_ms":3000})";
constexpr const char* kNoAnswers = R"({"delay_ms":600000})";
constexpr const char* kPromptAnswers = R"({"delay_ms":0})";

}  // namespace

/** Promise 4: a booking with a key runs at most once, and its caller is told honestly. */
TEST_GROUP(SystemBooking) {
  Fleet m_fleet;

  std::future<HttpAnswer> BookLater(std::size_t instance, const std::string& key,
                                    const std::string& body = kBody) {
    return std::async(std::launch::async, [=, this] { return m_fleet.Book(instance, key, body); });
  }

  /** Sends again as a caller does that was told "not run", until it is told something else or the
      polling bound is over: judge the answer. */
  HttpAnswer BookUntilDecided(std::size_t instance, const std::string& key,
                              const std::string& body = kBody) {
    HttpAnswer answer;
    Eventually([&] {
      answer = m_fleet.Book(instance, key, body);
      return answer.whole && !ProblemOf(answer).ends_with("/no");
    });
    return answer;
  }

  /** Sends again until there is an answer: one that was given before it was on record (the store
      was slow or its answers were lost) is "outcome unknown" to a repeat for a moment. */
  HttpAnswer BookUntilAnswered(std::size_t instance, const std::string& key,
                               const std::string& body = kBody) {
    HttpAnswer answer;
    Eventually([&] { return (answer = m_fleet.Book(instance, key, body)).status == 200; });
    return answer;
  }

  bool IsDispatched() {
    return Eventually([this] { return m_fleet.BookingCalls() == 1; });
  }
};

TEST(SystemBooking, SentTwiceThroughTwoInstancesRunsOnce) {
  const HttpAnswer first = m_fleet.Book(0, "k");
  const HttpAnswer second = BookUntilAnswered(1, "k");
  LONGS_EQUAL(200, first.status);
  LONGS_EQUAL(200, second.status);
  STRCMP_EQUAL(first.body.c_str(), second.body.c_str());
  LONGS_EQUAL(1, m_fleet.Bookings());
}

TEST(SystemBooking, AKeyWithAnotherBodyIsRefused) {
  LONGS_EQUAL(200, m_fleet.Book(0, "k").status);
  const HttpAnswer reused = m_fleet.Book(1, "k", R"({"bed":13})");
  LONGS_EQUAL(422, reused.status);
  STRCMP_EQUAL("idempotency_key_reused/no", ProblemOf(reused).c_str());
  LONGS_EQUAL(1, m_fleet.Bookings());
}

TEST(SystemBooking, ResentWhileTheFirstRunsIsNotRunAgain) {
  // Symptom: two bookings for a caller that lost patience.
  // Events: the service is slow; the caller sends again, through another instance, before the
  // first request is answered.
  // Cause: the key is recorded only with the answer.
  Fleet::Control(m_fleet.Service(), kSlowAnswers);
  auto first = BookLater(0, "k");
  CHECK_TRUE(IsDispatched());
  STRCMP_EQUAL("outcome_unknown/unknown", ProblemOf(m_fleet.Book(1, "k")).c_str());
  const HttpAnswer answer = first.get();
  LONGS_EQUAL(200, answer.status);
  const HttpAnswer repeated = BookUntilAnswered(2, "k");
  STRCMP_EQUAL(answer.body.c_str(), repeated.body.c_str());
  LONGS_EQUAL(1, m_fleet.Bookings());
}

TEST(SystemBooking, ALostAnswerOfTheServiceIsToldAndNeverRunAgain) {
  // Symptom: two bookings after the service's connection broke.
  // Events: the service books, then its connection ends before the answer.
  // Cause: the instance takes the broken connection for "not run" and sends the booking again.
  Fleet::Control(m_fleet.Service(), kLoseNextAnswer);
  STRCMP_EQUAL("outcome_unknown/unknown", ProblemOf(m_fleet.Book(0, "k")).c_str());
  for (const std::size_t instance : {0, 1, 2}) {
    STRCMP_EQUAL("outcome_unknown/unknown", ProblemOf(m_fleet.Book(instance, "k")).c_str());
  }
  LONGS_EQUAL(1, m_fleet.Bookings());
}

TEST(SystemBooking, AnInstanceKilledAfterDispatchLeavesNoSecondBooking) {
  // Symptom: two bookings after an instance died.
  // Events: the instance dispatched and is killed before the answer; the caller sends the key
  // through another instance. The dead one may have held the key's partition too.
  // Cause: the right to run was known to the dead instance only.
  Fleet::Control(m_fleet.Service(), kNoAnswers);
  auto first = BookLater(0, "k");
  CHECK_TRUE(IsDispatched());
  m_fleet.Instance(0).process->Signal(SIGKILL);
  CHECK_FALSE(first.get().whole);
  Fleet::Control(m_fleet.Service(), kPromptAnswers);
  STRCMP_EQUAL("outcome_unknown/unknown", ProblemOf(BookUntilDecided(1, "k")).c_str());
  STRCMP_EQUAL("outcome_unknown/unknown", ProblemOf(BookUntilDecided(2, "k")).c_str());
  LONGS_EQUAL(1, m_fleet.Bookings());
}

TEST(SystemBooking, AHolderThatWakesAfterItsRolesWereTakenRunsNothingTwice) {
  // Symptom: a key runs twice, once granted by its old holder and once by the new one.
  // Events: an instance that holds a third of the partitions freezes while bookings wait for its
  // word and its own bookings wait for the store. Others take its partitions over and run the
  // same keys; then it wakes, with grants under way.
  // Cause: a holder goes by its own clock or memory, and not by what the store says.
  constexpr int kKeys = 16;
  const auto key = [](int number) { return fmt::format("k{}", number); };
  const auto body = [](int number) { return fmt::format(R"({{"bed":{}}})", number); };
  Fleet::Control(m_fleet.Store(), R"({"delay_ms":300})");
  std::vector<std::future<HttpAnswer>> first;
  first.reserve(kKeys);
  for (int number = 0; number < kKeys; ++number) {
    first.push_back(BookLater(1, key(number), body(number)));
  }
  const auto writes = [this] { return Fleet::CallsOf(m_fleet.Store(), "/kv/cas"); };
  const int writes_before = writes();
  CHECK_TRUE(Eventually([&] { return writes() > writes_before; }));
  m_fleet.Instance(1).process->Signal(SIGSTOP);
  Fleet::Control(m_fleet.Store(), kPromptAnswers);
  std::vector<std::future<HttpAnswer>> second;
  second.reserve(kKeys);
  for (int number = 0; number < kKeys; ++number) {
    second.push_back(std::async(std::launch::async, [&, number] {
      return BookUntilDecided(number % 2 == 0 ? 0 : 2, key(number), body(number));
    }));
  }
  for (auto& answer : second) {
    answer.wait();
  }
  m_fleet.Instance(1).process->Signal(SIGCONT);
  for (int number = 0; number < kKeys; ++number) {
    first[number].wait();
    const HttpAnswer before = second[number].get();
    CHECK_TRUE(m_fleet.BookingsWith(body(number)) <= 1);
    if (before.status == 200) {
      const HttpAnswer after = BookUntilAnswered(1, key(number), body(number));
      LONGS_EQUAL(1, m_fleet.BookingsWith(body(number)));
      STRCMP_EQUAL(before.body.c_str(), after.body.c_str());
    } else {
      STRCMP_EQUAL("outcome_unknown/unknown", ProblemOf(before).c_str());
      BookUntilDecided(1, key(number), body(number));
      CHECK_TRUE(m_fleet.BookingsWith(body(number)) <= 1);
    }
  }
}

TEST(SystemBooking, LostAnswersOfTheStoreCostNoSecondBooking) {
  // Symptom: a key runs twice, or is refused for ever, after the store's connections broke.
  // Events: the store writes the grant, and its connection ends before the answer; three times.
  // Cause: the instance writes again and takes the conflict with itself for another's grant, or
  // takes the silence for a write that took no effect.
  LONGS_EQUAL(200, m_fleet.Book(0, "warm", R"({"bed":1})").status);
  Fleet::Control(m_fleet.Store(), R"({"lose_answers_next":3,"only":"/kv/cas"})");
  LONGS_EQUAL(200, BookUntilDecided(0, "k").status);
  LONGS_EQUAL(1, m_fleet.BookingsWith(kBody));
  LONGS_EQUAL(200, BookUntilAnswered(1, "k").status);
  LONGS_EQUAL(1, m_fleet.BookingsWith(kBody));
}

}  // namespace zinnia::testing
