#include "platform/soak/departure_ledger.h"
#include "zinnia_base/time/virtual_time.h"

#include <CppUTest/TestHarness.h>

namespace zinnia::platform::soak {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** One server and one instance, all calm for long. */
TEST_GROUP(DepartureLedger) {
  VirtualTime time;
  DepartureLedger ledger{time};

  void setup() override {
    time.AdvanceBy(seconds(60));
  }

  std::size_t Violations() const {
    return ledger.Violations().size();
  }

  void LeaveAndArrive(Duration after) {
    ledger.OnLeft("server", "leaves");
    time.AdvanceBy(after);
    ledger.OnArrival("server", "request", "instance");
  }
};

TEST(DepartureLedger, TellsOfARequestThatArrivesLate) {
  LeaveAndArrive(milliseconds(2'001));
  CHECK_EQUAL(1U, Violations());
  CHECK_EQUAL(1, ledger.Judged());
  CHECK_EQUAL(2'001, ledger.LatestArrival().after.count());
}

TEST(DepartureLedger, AllowsARequestThatArrivesInTime) {
  LeaveAndArrive(milliseconds(2'000));
  CHECK_EQUAL(0U, Violations());
}

TEST(DepartureLedger, CountsFromTheFirstWordOfOneStart) {
  ledger.OnLeft("server", "leaves");
  time.AdvanceBy(milliseconds(1'500));
  LeaveAndArrive(milliseconds(501));
  CHECK_EQUAL(1U, Violations());
}

TEST(DepartureLedger, AServerThatHasReturnedMayGetRequests) {
  ledger.OnLeft("server", "leaves");
  time.AdvanceBy(seconds(5));
  ledger.OnReturned("server");
  ledger.OnArrival("server", "request", "instance");
  CHECK_EQUAL(0U, Violations());
  CHECK_EQUAL(1, ledger.Judged());
}

TEST(DepartureLedger, ExcusesWhatWasDisturbedWithinTheLastSeconds) {
  ledger.OnInstanceDisturbed("instance");
  LeaveAndArrive(milliseconds(2'500));
  ledger.SetStoreLinkDisturbed("instance", true);
  time.AdvanceBy(seconds(9));
  ledger.OnArrival("server", "request", "instance");
  ledger.SetStoreLinkDisturbed("instance", false);
  time.AdvanceBy(milliseconds(2'999));
  ledger.OnArrival("server", "request", "instance");
  CHECK_EQUAL(0U, Violations());
  time.AdvanceBy(milliseconds(1));
  ledger.OnArrival("server", "request", "instance");
  CHECK_EQUAL(1U, Violations());
}

TEST(DepartureLedger, BindsOnlyToWhatAStableStoreAcknowledged) {
  ledger.SetStoreDisturbed(true);
  ledger.SetStoreDisturbed(false);
  time.AdvanceBy(milliseconds(2'999));
  LeaveAndArrive(seconds(9));
  CHECK_EQUAL(0U, Violations());
  CHECK_EQUAL(0, ledger.Judged());
  ledger.OnReturned("server");
  LeaveAndArrive(seconds(9));
  CHECK_EQUAL(1U, Violations());
}

}  // namespace zinnia::platform::soak
