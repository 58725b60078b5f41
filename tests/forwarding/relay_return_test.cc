#include "tests/forwarding/control_fleet.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kFirstRelay = 1;
constexpr int kDomains = 3;

/** From below what a relay may be silent until others take its place, to below its lease. */
constexpr milliseconds kShortestAbsence{800};
constexpr milliseconds kLongestAbsence{6'000};
constexpr milliseconds kAbsenceStep{200};

/** Until all instances have noticed who sends to whom. */
constexpr Duration kSettling = seconds(6);

/** Of the users: from a change's acknowledgement until it must be in force. */
constexpr Duration kBound = seconds(2);

}  // namespace

/** The first relay of a failure domain is not heard for a while and comes back. */
TEST_GROUP(RelayReturn) {
  std::unique_ptr<ControlFleet> fleet;

  void Start(int instances) {
    fleet = std::make_unique<ControlFleet>(instances, kDomains);
    fleet->store.Put("configuration", "1");
    fleet->Advance(seconds(5));
  }

  void LeaveAndReturn(Duration absence) {
    fleet->SetCutOff(kFirstRelay, true);
    fleet->Advance(absence);
    fleet->SetCutOff(kFirstRelay, false);
    fleet->Advance(kSettling);
  }

  /** Watches that were waiting before end within two seconds. */
  void TurnItsDomainAway() {
    for (std::size_t number = kFirstRelay; number < fleet->Size(); number += kDomains) {
      fleet->Client(number).SetRefused(true);
    }
    fleet->Advance(seconds(2));
  }

  int CountBehindAfterAChange() {
    fleet->store.Put("configuration", "2");
    fleet->Advance(kBound);
    return static_cast<int>(fleet->Size()) - fleet->CountWithVersion(2);
  }

  int CountBehindAfter(int instances, Duration absence) {
    Start(instances);
    LeaveAndReturn(absence);
    TurnItsDomainAway();
    return CountBehindAfterAChange();
  }
};

// Guards against failure domains that exclude each other's relays for long after one was silent.
TEST(RelayReturn, ItsDomainHearsOfChangesFromTheOthers) {
  int behind = 0;
  for (Duration absence = kShortestAbsence; absence <= kLongestAbsence; absence += kAbsenceStep) {
    behind += CountBehindAfter(9, absence);
  }
  LONGS_EQUAL(0, behind);
  LONGS_EQUAL(0, CountBehindAfter(65, kLongestAbsence));
}

}  // namespace zinnia
