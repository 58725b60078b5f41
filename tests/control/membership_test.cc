#include "tests/control/control_fleet.h"
#include "zinnia_decisions/membership/rumour_queue.h"
#include "zinnia_decisions/ports/in_flight_at_crash.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

MemberState StateOf(ControlFleet& fleet, std::size_t at, std::size_t of) {
  for (const InstanceRow& row : fleet.At(at).LiveInstanceRows()) {
    if (row.instance.name == fleet.instances[of].name) {
      return row.state;
    }
  }
  return MemberState::kDead;
}

std::size_t LiveAt(ControlFleet& fleet, std::size_t at) {
  return fleet.At(at).Membership().LiveInstances().size();
}

}  // namespace

TEST_GROUP(Membership) {
  ControlFleet fleet{6};

  void setup() override {
    fleet.StartAll();
    fleet.time.AdvanceBy(seconds(5));
    CHECK_TRUE(fleet.MembershipConverged());
  }
};

TEST(Membership, InstancesFindEachOtherThroughSeedsWhileTheListIsDown) {
  ControlFleet blind(6);
  blind.list.outage = true;
  blind.StartAll();
  blind.time.AdvanceBy(seconds(8));
  CHECK_TRUE(blind.MembershipConverged());
}

// A seed that was not listening yet at the first pings must be pinged again, even when other
// instances are known; otherwise the fleet stays split.
TEST(Membership, SeedThatMissedTheFirstPingsIsFoundLater) {
  ControlFleet blind(3);
  blind.list.outage = true;
  blind.seeds_are_earlier_instances = true;
  blind.Cut(1);
  blind.StartAll();
  blind.time.AdvanceBy(seconds(2));
  CHECK_EQUAL(2, LiveAt(blind, 1));
  blind.Heal();
  blind.time.AdvanceBy(seconds(8));
  CHECK_TRUE(blind.MembershipConverged());
}

TEST(Membership, CrashIsNoticedEverywhere) {
  fleet.Crash(2);
  fleet.list.listing.instances = fleet.instances;
  fleet.time.AdvanceBy(seconds(15));
  CHECK_TRUE(fleet.MembershipConverged());
}

// A stale platform list must not override failure detection.
TEST(Membership, StaleListDoesNotReviveDeadMembers) {
  fleet.Crash(2);
  fleet.time.AdvanceBy(seconds(15));
  for (int second = 0; second < 30; ++second) {
    fleet.time.AdvanceBy(seconds(1));
    CHECK_EQUAL(5, LiveAt(fleet, 0));
  }
}

// A healthy instance must be able to refute a suspicion caused by lost datagrams.
TEST(Membership, SuspicionIsRefutedUnderLoss) {
  fleet.network.drop = 0.3;
  for (int step = 0; step < 600; ++step) {
    fleet.time.AdvanceBy(milliseconds(100));
  }
  fleet.network.drop = 0.0;
  fleet.time.AdvanceBy(seconds(15));
  CHECK_TRUE(fleet.MembershipConverged());
  for (std::size_t of = 1; of < 6; ++of) {
    CHECK_TRUE(StateOf(fleet, 0, of) == MemberState::kAlive);
  }
}

// Indirect probes must prevent a false detection when one link between two instances fails.
TEST(Membership, FailedLinkCausesNoFalseDetection) {
  const NetworkAddress one = fleet.instances[1].peer_address;
  const NetworkAddress two = fleet.instances[2].peer_address;
  fleet.network.is_cut = [one, two](const NetworkAddress& from, const NetworkAddress& to) {
    return (from == one && to == two) || (from == two && to == one);
  };
  for (int second = 0; second < 60; ++second) {
    fleet.time.AdvanceBy(seconds(1));
    CHECK_TRUE(fleet.MembershipConverged());
    CHECK_TRUE(StateOf(fleet, 1, 2) == MemberState::kAlive);
    CHECK_TRUE(StateOf(fleet, 0, 2) == MemberState::kAlive);
  }
}

// Dead members must still be probed, or the sides of a healed partition never merge.
TEST(Membership, PartitionedSidesMergeAfterHealing) {
  fleet.Cut(3);
  fleet.list.outage = true;
  fleet.time.AdvanceBy(seconds(60));
  CHECK_EQUAL(3, LiveAt(fleet, 0));
  CHECK_EQUAL(3, LiveAt(fleet, 5));
  fleet.Heal();
  fleet.time.AdvanceBy(seconds(30));
  CHECK_TRUE(fleet.MembershipConverged());
}

// An instance stopped in the middle of a probe must not treat its own pause as its peers' silence.
TEST(Membership, PausedInstanceSuspectsNobodyOnResume) {
  fleet.processes[3]->scheduler.Pause();
  fleet.time.AdvanceBy(seconds(60));
  CHECK_EQUAL(5, LiveAt(fleet, 0));
  fleet.processes[3]->scheduler.Resume();
  for (int step = 0; step < 100; ++step) {
    fleet.time.AdvanceBy(milliseconds(100));
    CHECK_EQUAL(6, LiveAt(fleet, 3));
    CHECK_TRUE(LiveAt(fleet, 0) >= 5);
  }
  fleet.time.AdvanceBy(seconds(10));
  CHECK_TRUE(fleet.MembershipConverged());
}

// As above, with a suspicion that was running when the pause began.
TEST(Membership, PausedInstanceRestartsSuspicionTimers) {
  const NetworkAddress lost = fleet.instances[0].peer_address;
  fleet.network.is_cut = [lost](const NetworkAddress& from, const NetworkAddress& to) {
    return from == lost || to == lost;
  };
  for (int step = 0; step < 100 && StateOf(fleet, 3, 0) == MemberState::kAlive; ++step) {
    fleet.time.AdvanceBy(milliseconds(100));
  }
  CHECK_TRUE(StateOf(fleet, 3, 0) == MemberState::kSuspect);
  fleet.Heal();
  fleet.processes[3]->scheduler.Pause();
  fleet.network.drop = 1.0;
  fleet.time.AdvanceBy(seconds(8));
  fleet.network.drop = 0.0;
  fleet.processes[3]->scheduler.Resume();
  CHECK_TRUE(StateOf(fleet, 3, 0) != MemberState::kDead);
}

TEST(Membership, PlannedStopIsKnownAtOnceAndIsNoSuspicion) {
  bool stopped = false;
  fleet.At(4).StopPlanned([&stopped] { stopped = true; });
  fleet.time.AdvanceBy(milliseconds(500));
  CHECK_TRUE(stopped);
  for (std::size_t index = 0; index < 4; ++index) {
    CHECK_EQUAL(5, LiveAt(fleet, index));
  }
  fleet.Restart(4);
  fleet.time.AdvanceBy(seconds(5));
  CHECK_TRUE(fleet.MembershipConverged());
}

TEST(Membership, DatagramsStayWithinTheLimit) {
  fleet.Cut(3);
  fleet.time.AdvanceBy(seconds(30));
  fleet.Heal();
  for (int server = 0; server < 200; ++server) {
    fleet.At(0).ReportServerCrash(fmt::format("server-{}", server),
                                  {{Fingerprint::Of(fmt::format("{}", server))}, {}});
  }
  fleet.time.AdvanceBy(seconds(30));
  CHECK_TRUE(fleet.network.largest <= kMaxDatagramBytes + 28);
}

TEST(Membership, RumourQueueReplacesForgetsAndStaysBounded) {
  RumourQueue queue;
  queue.Add(LeavingRumour{"b-1", 1}, 2);
  queue.Add(LeavingRumour{"b-1", 2}, 2);
  CHECK_EQUAL(1, queue.size());
  CHECK_EQUAL(1, queue.Take(1000).size());
  CHECK_EQUAL(1, queue.Take(1000).size());
  CHECK_EQUAL(0, queue.Take(1000).size());
  for (int server = 0; server < 5000; ++server) {
    queue.Add(LeavingRumour{fmt::format("b-{}", server), 1}, 2);
  }
  CHECK_EQUAL(4096, queue.size());
}

}  // namespace zinnia
