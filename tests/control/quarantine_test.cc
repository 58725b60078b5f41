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

// Symptom: thirty callers are refused because one request crashed the server they shared.
// Sequence: poison and ordinary requests in flight at a crash; each is tried again alone; the
// poison crashes a second server with other ordinary requests. Cause: all in flight blamed alike.
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

// Symptom: the real poison goes free and crashes a third server. Sequence: two instances had an
// isolated request each at the second crash; the report of the innocent one came first.
// Cause: the others cleared before all reports of the crash were in.
TEST(Quarantine, LateReportOfAnExplainedCrashStillCounts) {
  const Fingerprint innocent = Fingerprint::Of("innocent");
  quarantine.OnCrash(CrashOf("b-1", {innocent, kPoison}), At(seconds(1)));
  quarantine.OnCrash(CrashOf("b-2", {innocent}), At(seconds(4)));
  quarantine.Tick(At(seconds(5)));
  quarantine.OnCrash(CrashOf("b-2", {kPoison}), At(seconds(6)));
  CHECK_TRUE(quarantine.IsQuarantined(kPoison));
}

// Symptom: a request is quarantined after one crash. Sequence: in flight through two instances, one
// of which reports after it read of the restart. Cause: one crash counted as two.
TEST(Quarantine, OneCrashUnderTwoIncarnationsIsOne) {
  quarantine.OnCrash({"b-1", 1, {kPoison}, 0}, At(seconds(1)));
  quarantine.OnCrash({"b-1", 2, {kPoison}, 0}, At(milliseconds(1500)));
  CHECK_FALSE(quarantine.IsQuarantined(kPoison));
  quarantine.OnCrash({"b-1", 2, {kPoison}, 0}, At(seconds(30)));
  CHECK_TRUE(quarantine.IsQuarantined(kPoison));
}

// What callers saw: an answer whose two servers died in the same moment ended as quarantined,
// though other servers could have gone on with it. Order of events: the request has a step in
// flight at one server; both of its servers are killed; the crash of each is reported with the
// request in flight, before its session is rebuilt. Cause: crashes of two servers were proof,
// whatever lay between them. Evidence: the error kind of the ended answer; two reports 0 to 50 ms
// apart quarantine the request here, and no other one was in flight.
TEST(Quarantine, ServersThatDieInOneMomentProveNothing) {
  const Fingerprint innocent = Fingerprint::Of("innocent");
  quarantine.OnCrash(CrashOf("b-1", {innocent}), At(seconds(1)));
  quarantine.OnCrash(CrashOf("b-2", {innocent}), At(milliseconds(1'050)));
  CHECK_TRUE(quarantine.IsSuspect(innocent));
  CHECK_FALSE(quarantine.IsQuarantined(innocent));
}

// Guards against a culprit that goes free because its second server died soon after the first.
TEST(Quarantine, ACrashUnderASecondTryAloneIsProofHoweverSoon) {
  quarantine.OnCrash(CrashOf("b-1", {kPoison}), At(seconds(1)));
  CrashRumour second = CrashOf("b-2", {kPoison});
  second.alone = true;
  quarantine.OnCrash(second, At(milliseconds(1'020)));
  CHECK_TRUE(quarantine.IsQuarantined(kPoison));
}

// Guards against evidence that is lost when another instance told of the same crash first.
TEST(Quarantine, EvidenceThatComesAfterTheCrashIsKnownIsTakenInAndToldOn) {
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

/** Callers that send a poison request again and again, and servers that it crashes. */
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

  /** Runs it on the next server, which crashes 30 ms later; a running request is tried again once
      more on another server unless it is quarantined by then. */
  void RunAt(std::size_t index, bool recovering) {
    const BackendServerName server = fmt::format("b-{}", next_server++ % 12);
    fleet.processes[index]->scheduler.Post(milliseconds(30), [this, index, server, recovering] {
      crashes.insert(fmt::format("{} {}", server, ++fleet.engines.states[server].incarnation));
      // The second try is alone at its server, as the engine links have it.
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

// Symptom: a third server goes down under a request that crashed two. Sequence: the caller sends it
// again, at once and for minutes, through whichever instance. Cause: knowledge of one instance
// only.
// Symptom: a third server dies of one request. Sequence: a crash, a second try at once, and a copy
// started through an instance that the rumour of the crash has not reached. Cause: the second try
// did not wait until the others knew.
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

// Symptom: recoveries hang. Cause: one frozen instance was waited for.
TEST(Poison, AFrozenPeerIsNotWaitedFor) {
  fleet.processes[3]->scheduler.Pause();
  bool known = false;
  fleet.At(0).ReportServerCrash("b-0", {{kPoison}, {}}, [&] { known = true; });
  fleet.time.AdvanceBy(CrashAnnouncer::kAcknowledgementTimeout - milliseconds(1));
  CHECK_FALSE(known);
  fleet.time.AdvanceBy(milliseconds(2));
  CHECK_TRUE(known);
}

TEST(Poison, TakesDownNoThirdServerWhoeverSendsItAgain) {
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

// Symptom: two servers go down at once under copies of one suspect, the second and the third.
// Sequence: its first caller is gone after one crash; two copies come through two instances at the
// same moment. Cause: each instance alone may try a suspect once more.
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

// What the evidence costs: copies that already run through two instances when the first server goes
// down each get their second try, so a culprit takes down four servers instead of two. An innocent
// request in flight at both of two servers that die together is never refused for it, and its
// second try waits no longer than that of any request after a crash.
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
