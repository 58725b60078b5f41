#include "platform/soak/pour_ledger.h"

#include <CppUTest/TestHarness.h>

namespace zinnia::platform::soak {

using std::chrono::milliseconds;

TEST_GROUP(PourLedger) {
  PourLedger ledger;

  void setup() override {
    ledger.OnBegun("poured", "server", "instance", "body");
  }

  void CheckViolations(std::size_t count) {
    CHECK_EQUAL(count, ledger.Violations().size());
  }

  void End(std::uint64_t requests, unsigned status) {
    for (std::uint64_t number = 0; number < requests; ++number) {
      CallOutcome outcome;
      outcome.id = std::to_string(number);
      outcome.whole = true;
      outcome.status = status;
      ledger.OnOutcome(outcome);
    }
  }
};

TEST(PourLedger, OneThatIsClosedInTimeIsNotToldOf) {
  ledger.OnEnd("poured", PourLedger::kMostBytes - 1, PourLedger::kLongest - milliseconds(1), true);
  CHECK_EQUAL(1U, ledger.Judged()["body"]);
  CheckViolations(0);
}

TEST(PourLedger, TellsOfOneThatIsNotClosed) {
  ledger.OnEnd("poured", 1, PourLedger::kLongest - milliseconds(1), false);
  CheckViolations(1);
}

TEST(PourLedger, TellsOfTooManyBytes) {
  ledger.OnEnd("poured", PourLedger::kMostBytes, milliseconds(1), true);
  CheckViolations(1);
}

TEST(PourLedger, TellsOfOneThatIsClosedLate) {
  ledger.OnEnd("poured", 1, PourLedger::kLongest, true);
  CheckViolations(1);
}

TEST(PourLedger, ADisturbedInstanceOrServerExcusesItsOwn) {
  ledger.OnBegun("other", "server 2", "instance 2", "body");
  ledger.OnDisturbed("instance");
  ledger.OnEnd("poured", 1, PourLedger::kLongest, false);
  ledger.OnEnd("other", 1, PourLedger::kLongest, false);
  CheckViolations(1);
  ledger.SetDisturbed("server", true);
  ledger.OnBegun("later", "server", "instance", "body");
  ledger.SetDisturbed("server", false);
  ledger.OnEnd("later", 1, PourLedger::kLongest, false);
  CheckViolations(1);
}

TEST(PourLedger, TellsOfRequestsBesideItThatAreNotServed) {
  End(PourLedger::kLeastRequests * 7 / 10, 200);
  End(PourLedger::kLeastRequests * 3 / 10, 502);
  CheckViolations(1);
}

TEST(PourLedger, RequestsThatMetASpoiledServerAreNotCounted) {
  for (std::uint64_t number = 0; number < PourLedger::kLeastRequests; ++number) {
    ledger.OnSpoiled(std::to_string(number));
  }
  End(PourLedger::kLeastRequests, 502);
  CHECK_EQUAL(0U, ledger.Beside());
  CheckViolations(0);
}

TEST(PourLedger, RequestsBesideItThatAreServedAreNotToldOf) {
  End(PourLedger::kLeastRequests * 9 / 10, 200);
  End(PourLedger::kLeastRequests / 10, 502);
  CheckViolations(0);
}

}  // namespace zinnia::platform::soak
