#include "platform/soak/patience_ledger.h"
#include "zinnia_base/time/virtual_time.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace zinnia::platform::soak {

using std::chrono::milliseconds;

TEST_GROUP(PatienceLedger) {
  static constexpr int kMany = 100;

  VirtualTime time;
  PatienceLedger ledger{time};
  int last = 0;

  std::string Send() {
    std::string request = std::to_string(++last);
    ledger.OnSend(request);
    return request;
  }

  void SendMany(int served) {
    for (int index = 0; index < kMany; ++index) {
      ledger.OnOutcome(Send(), index < served);
    }
  }

  void StandStill() {
    ledger.BeginStandstill();
    SendMany(0);
    ledger.EndStandstill();
  }
};

TEST(PatienceLedger, ARequestThatArrivesLongAfterItsCallerHasLeftIsAViolation) {
  const std::string request = Send();
  ledger.OnLeft(request);
  time.AdvanceBy(PatienceLedger::kHeardWithin);
  ledger.OnArrival(request);
  CHECK_TRUE(ledger.Violations().empty());
  time.AdvanceBy(milliseconds(1));
  ledger.OnArrival(request);
  CHECK_EQUAL(1U, ledger.Violations().size());
  CHECK_EQUAL(1U, ledger.Departures());
}

TEST(PatienceLedger, RequestsOfThoseWhoStayAndOfOtherCallersMayArriveAtAnyTime) {
  const std::string request = Send();
  time.AdvanceBy(std::chrono::seconds(10));
  ledger.OnArrival(request);
  ledger.OnArrival("of-another-caller");
  CHECK_TRUE(ledger.Violations().empty());
}

TEST(PatienceLedger, FewerServedLongAfterAStandstillIsAViolation) {
  SendMany(100);
  StandStill();
  time.AdvanceBy(PatienceLedger::kRecovery - milliseconds(1));
  SendMany(0);
  time.AdvanceBy(milliseconds(1));
  SendMany(95);
  CHECK_TRUE(ledger.Violations().empty());
  SendMany(94);
  CHECK_EQUAL(1U, ledger.Violations().size());
  CHECK_EQUAL(200U, ledger.AfterStandstills().requests);
}

}  // namespace zinnia::platform::soak
