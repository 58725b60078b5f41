#include <fmt/format.h>
#include <sys/wait.h>

#include <atomic>
#include <csignal>
#include <future>
#include <memory>
#include <thread>

#include "fleet_fixture.h"
#include "polling.h"

// The macros of CppUTest come after the standard headers.
#include <CppUTest/TestHarness.h>

namespace zinnia::testing {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kInstances = 3;

/** What a caller does that goes to the next instance when one refuses. */
class LightStream {
 public:
  LightStream(const Fleet& fleet, std::string text) : m_fleet(fleet), m_text(std::move(text)) {}

  /** Chats and books until `stop`; returns what went wrong, or "". */
  std::string Run(const std::atomic<bool>& stop) {
    std::string faults;
    for (int number = 0; !stop; ++number) {
      faults += Chat();
      faults += Book(number);
      m_answers += 1;
    }
    return faults;
  }

  int Answers() const { return m_answers; }

 private:
  std::string Chat() {
    for (std::size_t tries = 0; tries < kMostTries; ++tries) {
      const StreamedAnswer answer = m_fleet.Chat(m_instance);
      if (answer.done) {
        return answer.Text() == m_text ? "" : "other words: " + answer.Text() + "\n";
      }
      // Status 0: nothing was accepted. Anything else must have been refused as not run.
      if (answer.status != 0 && answer.was_run != "no") {
        return fmt::format("cut off after {} tokens: {}\n", answer.tokens.size(),
                           answer.error_kind);
      }
      GoOn();
    }
    return "a chat was refused everywhere\n";
  }

  std::string Book(int number) {
    const std::string key = fmt::format("light-{}", number);
    const std::string body = fmt::format(R"({{"light":{}}})", number);
    for (std::size_t tries = 0; tries < kMostTries; ++tries) {
      const HttpAnswer answer = m_fleet.Book(m_instance, key, body);
      if (answer.status == 200 && answer.whole) {
        return m_fleet.BookingsWith(body) == 1 ? "" : "not booked once: " + body + "\n";
      }
      if (answer.status != 0 && !ProblemOf(answer).ends_with("/no")) {
        return "booking: " + answer.body + "\n";
      }
      if (m_fleet.BookingsWith(body) != 0) {
        return "booked, and its caller was not answered: " + body + "\n";
      }
      GoOn();
    }
    return "a booking was refused everywhere\n";
  }

  void GoOn() {
    m_instance = (m_instance + 1) % kInstances;
    std::this_thread::sleep_for(50ms);
  }

  static constexpr std::size_t kMostTries = 200;
  const Fleet& m_fleet;
  const std::string m_text;
  std::size_t m_instance = 0;
  std::atomic<int> m_answers = 0;
};

}  // namespace

/** Promise 6: a planned stop cuts nothing off. */
TEST_GROUP(SystemPlannedStop) {
  Fleet m_fleet;

  /** Ended with status 0, and without having cut anything off. */
  void CheckEnded(ChildProcess & process) {
    const auto status = process.WaitForEnd(kPollingBound);
    CHECK_TRUE(status.has_value());
    CHECK_TRUE(WIFEXITED(*status));
    LONGS_EQUAL(0, WEXITSTATUS(*status));
    CHECK_TRUE(process.StandardError().find("event=cut") == std::string::npos);
  }
};

TEST(SystemPlannedStop, AStreamABookingAndARecoveryEndWhole) {
  // Symptom: callers lose answers whenever an instance is replaced.
  // Events: an instance is told to stop while it streams an answer, waits for a service, and mends
  // another answer whose stage was just killed.
  // Cause: it counts connections, not what is still owed: a recovery has no step under way, and a
  // service call no bytes.
  const std::string text = m_fleet.Chat(1).Text();
  Fleet::Control(m_fleet.Service(), R"({"delay_ms":1500})");
  auto booking = std::async(std::launch::async, [this] { return m_fleet.Book(0, "k"); });
  CHECK_TRUE(Eventually([this] { return m_fleet.BookingCalls() == 1; }));
  auto beside = std::async(std::launch::async, [this] { return m_fleet.Chat(0); });
  bool stopped = false;
  std::string refusal;
  StreamedAnswer refused_chat;
  ChatCall call;
  call.on_progress = [&](const StreamedAnswer& so_far) {
    if (!stopped && so_far.tokens.size() >= 8) {
      stopped = true;
      m_fleet.EnginesOf(so_far.session).at(1)->process->Signal(SIGKILL);
      m_fleet.Instance(0).process->Signal(SIGTERM);
      Eventually(
          [this] { return HttpClient(m_fleet.Instance(0).callers).Get("/ready").status != 200; });
      refusal = ProblemOf(m_fleet.Book(0, "late", R"({"bed":99})"));
      refused_chat = m_fleet.Chat(0);
    }
    return true;
  };
  const StreamedAnswer answer = m_fleet.Chat(0, call);
  CHECK_TRUE(stopped);
  STRCMP_EQUAL("draining/no", refusal.c_str());
  STRCMP_EQUAL("draining", refused_chat.error_kind.c_str());
  STRCMP_EQUAL("no", refused_chat.was_run.c_str());
  CHECK_TRUE(answer.done);
  STRCMP_EQUAL(text.c_str(), answer.Text().c_str());
  const StreamedAnswer other = beside.get();
  CHECK_TRUE(other.done);
  STRCMP_EQUAL(text.c_str(), other.Text().c_str());
  LONGS_EQUAL(200, booking.get().status);
  CheckEnded(*m_fleet.Instance(0).process);
  LONGS_EQUAL(1, m_fleet.Bookings());
}

TEST(SystemPlannedStop, AllInstancesAreReplacedUnderLightTrafficWithoutALoss) {
  // Symptom: a roll-out costs some callers an answer, or doubles a booking.
  // Events: one instance after the other is stopped and started again while callers chat and book,
  // going to the next instance when one refuses.
  // Cause: what a stopping instance held (partitions, sessions) is not handed over in time, or the
  // new one serves before it knows the configuration.
  const std::string text = m_fleet.Chat(0).Text();
  std::atomic<bool> stop = false;
  LightStream stream(m_fleet, text);
  auto faults = std::async(std::launch::async, [&] { return stream.Run(stop); });
  // A check that fails leaves the test here, and the future waits for its thread.
  const std::shared_ptr<void> stop_at_the_end(nullptr, [&](void*) { stop = true; });
  for (std::size_t instance = 0; instance < kInstances; ++instance) {
    const int answers = stream.Answers();
    m_fleet.Instance(instance).process->Signal(SIGTERM);
    CheckEnded(*m_fleet.Instance(instance).process);
    m_fleet.StartInstance(instance);
    CHECK_TRUE(m_fleet.WaitUntilReady(instance));
    CHECK_TRUE(Eventually([&] { return stream.Answers() > answers; }));
  }
  stop = true;
  STRCMP_EQUAL("", faults.get().c_str());
}

}  // namespace zinnia::testing
