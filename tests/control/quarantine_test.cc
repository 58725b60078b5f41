#include <set>

#include "tests/control/control_fleet.h"
#include "zinnia_decisions/ports/in_flight_at_crash.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const Fingerprint kPoison = Fingerprint::Of("poison");

CrashRumour CrashOf(const BackendServerName& server, std::vector<Fingerprint> in_flight) {
  return {server, 1, std::move(in_flight), 0};
}

TimePoint At(Duration time) {
  return TimePoint{} + time;
}

}  // namespace

TEST_GROUP(Quarantine) {
  CrashQuarantine quarantine{QuarantineSettings{}};
};

TEST(Quarantine, OneCrashMakesASuspectTwoDistinctOnesQuarantine) {
  quarantine.OnCrash(CrashOf("b-1", {kPoison}), At(seconds(1)));
  CHECK_TRUE(quarantine.IsSuspect(kPoison));
  quarantine.OnCrash(CrashOf("b-1", {kPoison}), At(seconds(1)));
  CHECK_FALSE(quarantine.IsQuarantined(kPoison));
  quarantine.OnCrash(CrashOf("b-2", {kPoison}), At(seconds(2)));
  CHECK_TRUE(quarantine.IsQuarantined(kPoison));
}

// Requests that merely shared a server with the culprit must not be quarantined.
TEST(Quarantine, OrdinaryRequestsBesideThePoisonAreCleared) {
  const Fingerprint beside_first = Fingerprint::Of("one");
  const Fingerprint beside_second = Fingerprint::Of("two");
  quarantine.OnCrash(CrashOf("b-1", {beside_first, kPoison}), At(seconds(1)));
  quarantine.OnCrash(CrashOf("b-2", {kPoison, beside_second}), At(seconds(4)));
  CHECK_TRUE(quarantine.IsQuarantined(kPoison));
  CHECK_FALSE(quarantine.IsQuarantined(beside_first));
  CHECK_FALSE(quarantine.IsQuarantined(beside_second));
  quarantine.Tick(At(seconds(10)));
  CHECK_FALSE(quarantine.IsSuspect(beside_first));
  CHECK_FALSE(quarantine.IsSuspect(beside_second));
}

// Other suspects must not be cleared before all reports of the crash are in: the culprit may be in
// a later one.
TEST(Quarantine, LateReportOfAnExplainedCrashStillCounts) {
  const Fingerprint innocent = Fingerprint::Of("innocent");
  quarantine.OnCrash(CrashOf("b-1", {innocent, kPoison}), At(seconds(1)));
  quarantine.OnCrash(CrashOf("b-2", {innocent}), At(seconds(4)));
  quarantine.Tick(At(seconds(5)));
  quarantine.OnCrash(CrashOf("b-2", {kPoison}), At(seconds(6)));
  CHECK_TRUE(quarantine.IsQuarantined(kPoison));
}

// Two instances report one crash, one of them with the incarnation after the restart: it must not
// count as two.
TEST(Quarantine, OneCrashUnderTwoIncarnationsIsOne) {
  quarantine.OnCrash({"b-1", 1, {kPoison}, 0}, At(seconds(1)));
  quarantine.OnCrash({"b-1", 2, {kPoison}, 0}, At(milliseconds(1500)));
  CHECK_FALSE(quarantine.IsQuarantined(kPoison));
  quarantine.OnCrash({"b-1", 2, {kPoison}, 0}, At(seconds(30)));
  CHECK_TRUE(quarantine.IsQuarantined(kPoison));
}

// Two servers that die at the same time, before the session is rebuilt, are no evidence against a
// request that was in flight at both.
TEST(Quarantine, SimultaneousServerCrashesAreNoEvidence) {
  const Fingerprint innocent = Fingerprint::Of("innocent");
  quarantine.OnCrash(CrashOf("b-1", {innocent}), At(seconds(1)));
  quarantine.OnCrash(CrashOf("b-2", {innocent}), At(milliseconds(1'050)));
  CHECK_TRUE(quarantine.IsSuspect(innocent));
  CHECK_FALSE(quarantine.IsQuarantined(innocent));
}

// A culprit must be quarantined even if its second server crashes soon after the first.
TEST(Quarantine, CrashDuringAnIsolatedRetryQuarantinesAtOnce) {
  quarantine.OnCrash(CrashOf("b-1", {kPoison}), At(seconds(1)));
  CrashRumour second = CrashOf("b-2", {kPoison});
  second.alone = true;
  quarantine.OnCrash(second, At(milliseconds(1'020)));
  CHECK_TRUE(quarantine.IsQuarantined(kPoison));
}

// Evidence must not be lost when another instance reported the same crash first.
TEST(Quarantine, LateEvidenceOfAKnownCrashIsAppliedAndForwarded) {
  quarantine.OnCrash(CrashOf("b-1", {kPoison}), At(seconds(1)));
  quarantine.OnCrash(CrashOf("b-2", {kPoison}), At(milliseconds(1'020)));
  CrashRumour second = CrashOf("b-2", {kPoison});
  second.alone = true;
  CHECK_EQUAL(1U, quarantine.OnCrash(second, At(milliseconds(1'040))).size());
  CHECK_TRUE(quarantine.IsQuarantined(kPoison));
  CrashQuarantine newcomer{QuarantineSettings{}};
  for (const CrashRumour& rumour : quarantine.Rumours(At(seconds(2)))) {
    newcomer.OnCrash(rumour, At(seconds(2)));
  }
  CHECK_TRUE(newcomer.IsQuarantined(kPoison));
}

TEST(Quarantine, SuspicionsAndQuarantineExpire) {
  quarantine.OnCrash(CrashOf("b-1", {kPoison, Fingerprint::Of("one")}), At(seconds(0)));
  quarantine.Tick(At(minutes(2)));
  CHECK_TRUE(quarantine.IsEmpty());
  quarantine.OnCrash(CrashOf("b-1", {kPoison}), At(minutes(3)));
  quarantine.OnCrash(CrashOf("b-2", {kPoison}), At(minutes(4)));
  quarantine.Tick(At(minutes(18)));
  CHECK_TRUE(quarantine.IsQuarantined(kPoison));
  quarantine.Tick(At(minutes(19)));
  CHECK_TRUE(quarantine.IsEmpty());
}

TEST(Quarantine, SettlesAtItsBounds) {
  QuarantineSettings small;
  small.max_crashes = 8;
  small.max_fingerprints_per_crash = 16;
  CrashQuarantine bounded(small);
  for (int server = 0; server < 40; ++server) {
    constexpr int kRequests = 30;
    std::vector<Fingerprint> in_flight;
    in_flight.reserve(kRequests);
    for (int request = 0; request < kRequests; ++request) {
      in_flight.push_back(Fingerprint::Of(fmt::format("{} {}", server, request)));
    }
    bounded.OnCrash(CrashOf(fmt::format("b-{}", server), in_flight), At(seconds(server)));
  }
  CHECK_EQUAL(small.max_crashes * 16, bounded.Rows(At(seconds(40))).size());
  CHECK_TRUE(bounded.IsSuspect(Fingerprint::Of("39 0")));
  CHECK_FALSE(bounded.IsSuspect(Fingerprint::Of("0 0")));
}

/** Callers that keep sending a request that crashes servers. */
TEST_GROUP(Poison) {
  ControlFleet fleet{5};
  std::set<std::string> crashes;
  int next_server = 0;

  void setup() override {
    for (int server = 0; server < 12; ++server) {
      fleet.AddServer(fmt::format("b-{}", server), {0, 8});
    }
    fleet.StartAll();
    fleet.time.AdvanceBy(seconds(5));
  }

  /** Runs the request on the next server, which crashes 30 ms later; it is then retried once on
      another server unless it is quarantined. */
  void RunAt(std::size_t index, bool recovering) {
    const BackendServerName server = fmt::format("b-{}", next_server++ % 12);
    fleet.processes[index]->scheduler.Post(milliseconds(30), [this, index, server, recovering] {
      crashes.insert(fmt::format("{} {}", server, ++fleet.engines.states[server].incarnation));
      // The retry is alone at its server, as with the engine links.
      const InFlightAtCrash in_flight =
          recovering ? InFlightAtCrash{{Fingerprint::Of(server)}, {kPoison}}
                     : InFlightAtCrash{{kPoison, Fingerprint::Of(server)}, {}};
      fleet.At(index).ReportServerCrash(server, in_flight);
      fleet.At(index).ReleaseSuspect(kPoison);
      if (!recovering && !fleet.At(index).Quarantine()->IsQuarantined(kPoison)) {
        RunAt(index, true);
      }
    });
  }

  bool Send(std::size_t index) {
    const bool taken =
        fleet.At(index).Quarantine()->MayStart(kPoison) && fleet.At(index).ClaimSuspect(kPoison);
    if (taken) {
      RunAt(index, false);
    }
    return taken;
  }
};

// A retry must wait until peers know of the crash: a copy started through an uninformed instance
// would crash a third server.
TEST(Poison, PeersKnowOfACrashBeforeTheSecondTry) {
  int known_at = -1;
  fleet.At(0).ReportServerCrash("b-0", {{kPoison}, {}}, [&] {
    known_at = 0;
    for (std::size_t index = 0; index < 5; ++index) {
      known_at += fleet.At(index).Quarantine()->MayStart(kPoison) ? 0 : 1;
    }
  });
  CHECK_EQUAL(-1, known_at);
  fleet.time.AdvanceBy(CrashAnnouncer::kAcknowledgementTimeout - milliseconds(1));
  CHECK_EQUAL(5, known_at);
}

// One unresponsive peer must not block recovery.
TEST(Poison, UnresponsivePeerDoesNotDelayRecovery) {
  fleet.processes[3]->scheduler.Pause();
  bool known = false;
  fleet.At(0).ReportServerCrash("b-0", {{kPoison}, {}}, [&] { known = true; });
  fleet.time.AdvanceBy(CrashAnnouncer::kAcknowledgementTimeout - milliseconds(1));
  CHECK_FALSE(known);
  fleet.time.AdvanceBy(milliseconds(2));
  CHECK_TRUE(known);
}

TEST(Poison, ResubmissionsThroughAnyInstanceCrashNoThirdServer) {
  Send(0);
  for (int attempt = 0; attempt < 600; ++attempt) {
    fleet.time.AdvanceBy(milliseconds(attempt < 50 ? 50 : 1000));
    Send(static_cast<std::size_t>(attempt) % 5);
  }
  CHECK_EQUAL(2, crashes.size());
  for (std::size_t index = 0; index < 5; ++index) {
    CHECK_TRUE(fleet.At(index).Quarantine()->IsQuarantined(kPoison));
    CHECK_FALSE(fleet.At(index).Quarantine()->IsSuspect(Fingerprint::Of("b-0")));
  }
}

// Two instances must not retry copies of one suspect at the same time.
TEST(Poison, CopiesOfASuspectRunOneAtATime) {
  fleet.At(0).ReportServerCrash("b-11", {{kPoison}, {}});
  crashes.insert("b-11 1");
  fleet.time.AdvanceBy(seconds(6));
  for (int round = 0; round < 100; ++round) {
    for (std::size_t index = 0; index < 5; ++index) {
      Send(index);
      Send(index);
    }
    fleet.time.AdvanceBy(milliseconds(round < 50 ? 5 : 500));
  }
  CHECK_EQUAL(2, crashes.size());
}

// Copies already running through two instances at the first crash are each retried once, so that a
// culprit may crash four servers. Innocent requests are never refused, and are retried without
// extra delay.
TEST(Poison, CopiesUnderWayTakeDownAServerMoreEachAndInnocentsGoFree) {
  const Fingerprint innocent = Fingerprint::Of("innocent");
  int waits_ended = 0;
  fleet.At(0).ReportServerCrash("b-10", {{innocent}, {}}, [&] { ++waits_ended; });
  fleet.At(0).ReportServerCrash("b-11", {{innocent}, {}}, [&] { ++waits_ended; });
  RunAt(1, false);
  RunAt(2, false);
  fleet.time.AdvanceBy(CrashAnnouncer::kAcknowledgementTimeout);
  CHECK_EQUAL(2, waits_ended);
  for (int attempt = 0; attempt < 100; ++attempt) {
    fleet.time.AdvanceBy(milliseconds(500));
    Send(static_cast<std::size_t>(attempt) % 5);
  }
  CHECK_EQUAL(4, crashes.size());
  for (std::size_t index = 0; index < 5; ++index) {
    CHECK_TRUE(fleet.At(index).Quarantine()->IsQuarantined(kPoison));
    CHECK_FALSE(fleet.At(index).Quarantine()->IsQuarantined(innocent));
  }
}

TEST(Poison, SuspectIsHeldUntilAllInstancesKnow) {
  fleet.At(0).ReportServerCrash("b-11", {{kPoison}, {}});
  for (std::size_t index = 0; index < 5; ++index) {
    CHECK_FALSE(index == 0 && Send(index));
  }
  fleet.time.AdvanceBy(seconds(1));
  for (std::size_t index = 0; index < 5; ++index) {
    CHECK_FALSE(Send(index));
    CHECK_TRUE(fleet.At(index).Quarantine()->IsSuspect(kPoison));
  }
  fleet.time.AdvanceBy(seconds(6));
  std::size_t owners = 0;
  for (std::size_t index = 0; index < 5; ++index) {
    owners += Send(index) ? 1 : 0;
  }
  CHECK_EQUAL(1, owners);
}

TEST(Poison, NewInstanceKnowsTheQuarantine) {
  Send(0);
  fleet.time.AdvanceBy(seconds(60));
  fleet.Restart(3);
  fleet.time.AdvanceBy(seconds(2));
  CHECK_FALSE(Send(3));
  CHECK_TRUE(fleet.At(3).Quarantine()->IsQuarantined(kPoison));
}

TEST(Poison, QuarantineEndsEverywhere) {
  Send(0);
  fleet.time.AdvanceBy(minutes(15) + seconds(5));
  for (std::size_t index = 0; index < 5; ++index) {
    CHECK_FALSE(fleet.At(index).Quarantine()->IsQuarantined(kPoison));
    CHECK_TRUE(fleet.At(index).QuarantineRows().empty());
  }
}

}  // namespace zinnia
