#include "tests/forwarding/forwarding_fakes.h"
#include "zinnia_decisions/forwarding/observed_state/server_directory.h"
#include "zinnia_decisions/forwarding/observed_state/store_mirror.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Mirror) {
  VirtualTime time;
  FakeStore store{time};
  RecordingLogger logger;
  RecordingMirrorListener recorded;
  StoreMirror mirror{store, time, time, logger, {}};

  void setup() override {
    store.Put("a", "1");
    store.Put("b", "1");
    mirror.SetListener(&recorded);
    mirror.Start();
    time.AdvanceBy(milliseconds(600));
  }

  void CompleteWatch() {
    store.AnswerWatch();
    time.AdvanceBy(milliseconds(100));
  }
};

// Guards against a mirror that stops for good, or loses the records behind it, when one is not
// taken.
TEST(Mirror, ARecordThatItsListenerCannotTakeCostsItselfAlone) {
  recorded.throws_for = "a";
  store.Put("a", "2");
  store.Put("b", "2");
  CompleteWatch();
  CHECK_TRUE(recorded.values["b"] == std::optional<std::string>("2"));
  time.AdvanceBy(milliseconds(500));
  store.Put("b", "3");
  CompleteWatch();
  CHECK_TRUE(recorded.values["b"] == std::optional<std::string>("3"));
  CHECK_TRUE(std::count(logger.events.begin(), logger.events.end(), "record_not_taken") == 1);
}

TEST(Mirror, ListsOnceThenWatches) {
  CHECK_TRUE(mirror.IsFilled());
  store.Put("a", "2");
  store.Erase("b");
  CompleteWatch();
  STRCMP_EQUAL("2", recorded.values["a"]->c_str());
  CHECK_FALSE(recorded.values["b"].has_value());
  CHECK_EQUAL(1, store.lists);
}

// Guards against servers that stay in the mirror because their removal fell into the part of the
// history that the store has dropped.
TEST(Mirror, ListsAgainAfterLostHistoryAndRemovesMissingRecords) {
  store.Erase("b");
  store.Put("c", "1");
  store.FailWatch(ErrorKind::kStoreHistoryLost);
  time.AdvanceBy(milliseconds(10));
  CHECK_EQUAL(2, store.lists);
  CHECK_FALSE(recorded.values["b"].has_value());
  STRCMP_EQUAL("1", recorded.values["c"]->c_str());
}

TEST(Mirror, ResumesWatchFromLastRevisionAfterFailure) {
  const StoreRevision before = mirror.Revision();
  store.FailWatch(ErrorKind::kStoreUnavailable);
  CHECK_FALSE(mirror.Contact().IsStableFor(seconds(2)));
  time.AdvanceBy(seconds(1));
  CHECK_EQUAL(before.number, store.last_watch_after);
  store.Put("a", "2");
  CompleteWatch();
  STRCMP_EQUAL("2", recorded.values["a"]->c_str());
  CHECK_FALSE(mirror.Contact().IsStableFor(seconds(2)));
  time.AdvanceBy(seconds(2));
  CHECK_TRUE(mirror.Contact().IsStableFor(seconds(2)));
}

// Guards against all instances calling an unavailable store at the rate of a store watcher.
TEST(Mirror, SubstituteRetriesUnavailableStoreAtReducedRate) {
  const auto calls_in_ten_seconds = [this] {
    int calls = 0;
    for (int step = 0; step < 100; ++step) {
      if (!store.watches.empty()) {
        ++calls;
        store.FailWatch(ErrorKind::kStoreUnavailable);
      }
      time.AdvanceBy(milliseconds(100));
    }
    return calls;
  };
  mirror.SetWatchRole(StoreWatchRole::kSubstitute, 9);
  CHECK_TRUE(calls_in_ten_seconds() <= 9);
  mirror.SetWatchRole(StoreWatchRole::kSubstitute, 200);
  CHECK_TRUE(calls_in_ten_seconds() <= 4);
  mirror.SetWatchRole(StoreWatchRole::kStoreWatcher, 200);
  CHECK_TRUE(calls_in_ten_seconds() >= 15);
}

// Guards against store calls by instances that receive all records from a store watcher.
TEST(Mirror, MakesNoCallsWhileNotWatching) {
  mirror.SetWatchRole(StoreWatchRole::kNone, 200);
  CompleteWatch();
  time.AdvanceBy(seconds(30));
  CHECK_EQUAL(0U, store.watches.size());
  CHECK_EQUAL(1, store.lists);
}

// Guards against a burst of store calls when all members of a domain lose their relays.
TEST(Mirror, SubstitutesSpreadFirstCalls) {
  StoreMirrorSettings settings;
  settings.spread_position = 0.5;
  FakeStore unwatched_store{time};
  StoreMirror delayed_mirror{unwatched_store, time, time, logger, settings};
  delayed_mirror.SetWatchRole(StoreWatchRole::kNone, 200);
  delayed_mirror.Start();
  time.AdvanceBy(seconds(1));
  delayed_mirror.SetWatchRole(StoreWatchRole::kSubstitute, 200);
  time.AdvanceBy(milliseconds(400));
  CHECK_EQUAL(0U, unwatched_store.watches.size());
  time.AdvanceBy(milliseconds(200));
  CHECK_EQUAL(1U, unwatched_store.watches.size());
}

// An instance that rarely calls the store may miss an outage. If it reported the store as steady,
// its peers would remove servers whose entries expired in the outage.
TEST(Mirror, IsNotSteadyWithoutRecentCalls) {
  CompleteWatch();
  CHECK_TRUE(mirror.Contact().IsStableFor(seconds(2)));
  time.AdvanceBy(seconds(3));
  CHECK_FALSE(mirror.Contact().IsStableFor(seconds(2)));
}

// Guards against a lagging peer restoring an outdated configuration.
TEST(Mirror, IgnoresOlderRecordsFromPeers) {
  store.Put("a", "2");
  CompleteWatch();
  mirror.Merge({true, {0, 2}, {{"a", {0, 2}, "1"}}});
  STRCMP_EQUAL("2", recorded.values["a"]->c_str());
  CHECK_TRUE(mirror.Has("b"));
}

TEST(Mirror, SendsOnlyMissingChangesToLaggingPeer) {
  const StoreRevision before = mirror.Revision();
  store.Put("c", "1");
  store.Erase("b");
  CompleteWatch();
  const MirrorDelta delta = mirror.ChangesAfter(before);
  CHECK_FALSE(delta.complete);
  CHECK_EQUAL(2U, delta.records.size());

  RecordingMirrorListener other_recorded;
  StoreMirror other{store, time, time, logger, {}};
  other.SetListener(&other_recorded);
  other.Merge(mirror.ChangesAfter({}));
  CHECK_TRUE(other.IsFilled());
  CHECK_TRUE(other.Has("c"));
  CHECK_FALSE(other.Has("b"));
}

// Guards against late configuration changes after the store watchers are lost and replaced.
TEST(Mirror, NewStoreWatcherWatchesImmediately) {
  mirror.SetWatchRole(StoreWatchRole::kNone, 1);
  CompleteWatch();
  time.AdvanceBy(seconds(6));
  CHECK_EQUAL(0U, store.watches.size());
  store.Put("a", "2");
  mirror.SetWatchRole(StoreWatchRole::kStoreWatcher, 1);
  CHECK_EQUAL(1U, store.watches.size());
  CompleteWatch();
  STRCMP_EQUAL("2", recorded.values["a"]->c_str());
}

TEST(Mirror, NewStoreWatcherStartsOneWatchDuringDelay) {
  mirror.SetWatchRole(StoreWatchRole::kSubstitute, 1);
  CompleteWatch();
  CHECK_EQUAL(0U, store.watches.size());
  mirror.SetWatchRole(StoreWatchRole::kStoreWatcher, 1);
  time.AdvanceBy(seconds(1));
  CHECK_EQUAL(1U, store.watches.size());
  // The unanswered watch is followed by one question when it is overdue.
  time.AdvanceBy(seconds(5));
  CHECK_EQUAL(2U, store.watches.size());
}

// Guards against a store that is listed without a pause, as it refuses the revision of its own
// list.
TEST(Mirror, ListsLessAndLessOftenWhileEachWatchIsRefused) {
  const int before = store.lists;
  for (int step = 0; step < 500; ++step) {
    time.AdvanceBy(milliseconds(10));
    while (!store.watches.empty()) {
      store.FailWatch(ErrorKind::kStoreHistoryLost);
    }
  }
  CHECK_TRUE(store.lists - before <= 14);
  store.Put("a", "2");
  time.AdvanceBy(seconds(1));
  CompleteWatch();
  STRCMP_EQUAL("2", recorded.values["a"]->c_str());
}

TEST_GROUP(Servers) {
  VirtualTime time;
  RecordingLogger logger;
  ServerDirectory directory{time, logger};
  int changes = 0;

  void setup() override {
    Put(EngineServer("s", "fast", "x"));
  }
  void Put(ServerEntry entry) {
    directory.Put(std::move(entry), [this] { ++changes; });
  }
  ServerEntry Incarnation(std::uint64_t started_at_ms, LayerRange layers = {}) {
    ServerEntry entry = EngineServer("s", "fast", "x", layers);
    entry.name = "s@" + std::to_string(started_at_ms);
    entry.started_at_ms = started_at_ms;
    return entry;
  }
  bool Report(const ServerStateReport& report) {
    return directory.OnServerStateReport(report, [this] { ++changes; });
  }
  void Remove(bool store_failed_recently) {
    if (store_failed_recently) {
      directory.RemoveUnlessBack("s", [this] { ++changes; });
    } else {
      directory.Remove("s");
    }
  }
};

TEST(Servers, RemovesImmediatelyWithoutStoreFailure) {
  Remove(false);
  CHECK_TRUE(directory.All().empty());
}

// Leases expire during a store outage, and servers register again a second later. Requests
// must not be refused in between.
TEST(Servers, ExpiredEntryMayReturnAfterOutage) {
  Remove(true);
  CHECK_EQUAL(1U, directory.All().size());
  time.AdvanceBy(seconds(1));
  Put(EngineServer("s", "fast", "x"));
  time.AdvanceBy(seconds(5));
  CHECK_EQUAL(1U, directory.All().size());
  CHECK_EQUAL(0, changes);
}

// Guards against requests to servers that left just after an outage and never said so.
TEST(Servers, ARemovalAfterAnOutageWaitsNoLongerThanUntilTheStoreHasSettled) {
  Remove(true);
  time.AdvanceBy(milliseconds(500));
  CHECK_TRUE(directory.OnStoreSettled());
  CHECK_TRUE(directory.All().empty());
  CHECK_FALSE(directory.OnStoreSettled());
  time.AdvanceBy(seconds(5));
  CHECK_EQUAL(0, changes);
}

TEST(Servers, AnEntryThatIsBackIsNotRemovedWhenTheStoreHasSettled) {
  Remove(true);
  Put(EngineServer("s", "fast", "x"));
  CHECK_FALSE(directory.OnStoreSettled());
  CHECK_EQUAL(1U, directory.All().size());
}

// Guards against a removal that outlasts an entry of an older copy of the store.
TEST(Servers, AnEntryOfAnOlderCopyEndsTheWaitForARemoval) {
  Put(Incarnation(1, {0, 40}));
  Remove(true);
  directory.PutOlderCopy(Incarnation(1, {0, 20}), [this] { ++changes; });
  CHECK_FALSE(directory.OnStoreSettled());
  CHECK_EQUAL(1U, directory.All().size());
}

// Guards against dropping a server that must first write its entry into the older copy.
TEST(Servers, AForgottenEntryIsKeptForAWhileThoughTheStoreIsWell) {
  directory.RemoveForgotten("s", [this] { ++changes; });
  CHECK_FALSE(directory.OnStoreSettled());
  time.AdvanceBy(milliseconds(2'299));
  CHECK_EQUAL(1U, directory.All().size());
  time.AdvanceBy(milliseconds(1));
  CHECK_TRUE(directory.All().empty());
  CHECK_EQUAL(1, changes);
}

// Guards against refused requests if the layers of an engine change during a store outage.
TEST(Servers, ReportedLayersApplyUntilNextEntry) {
  CHECK_TRUE(Report({"s", {20, 40}}));
  CHECK_FALSE(Report({"s", {20, 40}}));
  CHECK_FALSE(Report({"unknown", {20, 40}}));
  CHECK_EQUAL(20U, directory.All().at("s").layers.first);
  Put(EngineServer("s", "fast", "x", {0, 5}));
  CHECK_EQUAL(0U, directory.All().at("s").layers.first);
}

// Guards against requests to servers that are shutting down but cannot update their entries during
// a store outage.
TEST(Servers, LeavingReportAppliesUntilNextEntry) {
  const LayerRange held = directory.All().at("s").layers;
  CHECK_TRUE(Report({"s", {}, true}));
  CHECK_FALSE(Report({"s", {}, true}));
  CHECK_TRUE(directory.All().at("s").draining);
  CHECK_TRUE(directory.All().at("s").layers == held);
  Put(EngineServer("s", "fast", "x", held));
  CHECK_FALSE(directory.All().at("s").draining);
  CHECK_EQUAL(0, changes);
}

// A wrong leaving report must not exclude a healthy server permanently.
TEST(Servers, LeavingReportExpiresAfterLastReport) {
  Report({"s", {}, true});
  time.AdvanceBy(seconds(4));
  Report({"s", {}, true});
  time.AdvanceBy(seconds(4));
  CHECK_TRUE(directory.All().at("s").draining);
  time.AdvanceBy(seconds(3));
  CHECK_FALSE(directory.All().at("s").draining);
  CHECK_EQUAL(1, changes);
}

// Guards against requests to a server that announced its departure while the store is away, or
// whose entry is written once more as if it stayed.
TEST(Servers, AnAnnouncedDepartureHoldsUntilTheIncarnationEnds) {
  Put(Incarnation(1));
  CHECK_TRUE(Report({"s@1", {}, true, true}));
  CHECK_FALSE(Report({"s@1", {}, true, true}));
  CHECK_FALSE(Report({"s@1", {}, true}));
  CHECK_TRUE(directory.All().at("s@1").draining);
  time.AdvanceBy(seconds(60));
  CHECK_TRUE(directory.All().at("s@1").draining);
  Put(Incarnation(1));
  CHECK_TRUE(directory.All().at("s@1").draining);
  Remove(true);
  time.AdvanceBy(seconds(5));
  Put(Incarnation(1));
  CHECK_TRUE(directory.All().at("s@1").draining);
  Put(Incarnation(2));
  CHECK_FALSE(directory.All().at("s@2").draining);
}

// Guards against losing an announcement that follows an inferred report, or precedes the entry.
TEST(Servers, AnAnnouncementOutlivesAnInferredReportAndAMissingEntry) {
  Report({"s", {}, true});
  CHECK_TRUE(Report({"s", {}, true, true}));
  time.AdvanceBy(seconds(10));
  CHECK_TRUE(directory.All().at("s").draining);
  CHECK_EQUAL(0, changes);
  CHECK_TRUE(Report({"late", {}, true, true}));
  ServerEntry late = EngineServer("late", "fast", "x");
  Put(late);
  CHECK_TRUE(directory.All().at("late").draining);
}

// Guards against memory that grows with every server that ever left.
TEST(Servers, AnnouncementsAreBounded) {
  for (std::size_t server = 0; server <= ServerDirectory::kMaxAnnouncements; ++server) {
    Report({std::to_string(server), {}, true, true});
  }
  CHECK_TRUE(Report({"0", {}, true, true}));  // The oldest was dropped.
  CHECK_FALSE(Report({std::to_string(ServerDirectory::kMaxAnnouncements), {}, true, true}));
}

// The expiry of a leaving report must not affect a server whose entry announces its departure.
TEST(Servers, AnnouncedDepartureReplacesReport) {
  Report({"s", {}, true});
  time.AdvanceBy(seconds(3));
  ServerEntry leaving = EngineServer("s", "fast", "x");
  leaving.draining = true;
  Put(leaving);
  time.AdvanceBy(seconds(4));
  CHECK_TRUE(directory.All().at("s").draining);
}

TEST(Servers, AnnouncedDepartureDoesNotExpire) {
  ServerEntry leaving = EngineServer("s", "fast", "x");
  leaving.draining = true;
  Put(leaving);
  CHECK_FALSE(Report({"s", {}, true}));
  time.AdvanceBy(seconds(7));
  CHECK_TRUE(directory.All().at("s").draining);
}

// A server may crash and register again before its entry expires. Treating the new entry as a
// change of the old one would stall streams and keep outdated layer assignments.
TEST(Servers, LaterIncarnationEndsEarlierOne) {
  Put(Incarnation(100, {0, 40}));
  Put(Incarnation(200));
  CHECK_EQUAL(1U, directory.All().size());
  CHECK_EQUAL(0U, directory.All().at("s@200").layers.Count());
  CHECK_TRUE(directory.EndedIncarnations().contains("s@100"));
  CHECK_FALSE(Report({"s@100", {0, 40}}));
  Put(Incarnation(300));
  CHECK_EQUAL(1U, directory.All().size());
  CHECK_TRUE(directory.EndedIncarnations().contains("s@200"));
}

// The last write of a crashed incarnation may reach the store after the next one has registered.
// Requests must not use layers that were lost in the crash.
TEST(Servers, IgnoresLateWriteOfEarlierIncarnation) {
  Put(Incarnation(200));
  Put(Incarnation(100, {0, 40}));
  time.AdvanceBy(seconds(1));
  CHECK_TRUE(directory.All().contains("s@200"));
  Put(Incarnation(200, {0, 20}));
  time.AdvanceBy(seconds(5));
  CHECK_EQUAL(20U, directory.All().at("s@200").layers.end);
  CHECK_EQUAL(0, changes);
}

// Guards against ignoring a server permanently because its clock was behind when it restarted.
TEST(Servers, AcceptsIncarnationWithLaggingClockAfterDelay) {
  Put(Incarnation(200, {0, 40}));
  Put(Incarnation(100));
  time.AdvanceBy(seconds(3));
  CHECK_EQUAL(1, changes);
  CHECK_TRUE(directory.All().contains("s@100"));
  CHECK_TRUE(directory.EndedIncarnations().contains("s@200"));
}

TEST(Servers, UnreadableRecordRemovesServer) {
  Put(Incarnation(100));
  directory.Invalidate("s");
  CHECK_TRUE(directory.All().empty());
  Put(Incarnation(100));
  CHECK_EQUAL(1U, directory.All().size());
}

// A server may restart during a store outage in which its entry expires.
TEST(Servers, ExpiredEntryMayReturnAsLaterIncarnation) {
  Put(Incarnation(100, {0, 40}));
  Remove(true);
  time.AdvanceBy(seconds(1));
  Put(Incarnation(200));
  time.AdvanceBy(seconds(5));
  CHECK_EQUAL(1U, directory.All().size());
  CHECK_TRUE(directory.All().contains("s@200"));
}

TEST(Servers, RemovesExpiredEntryAfterGracePeriod) {
  Remove(true);
  time.AdvanceBy(seconds(3));
  CHECK_TRUE(directory.All().empty());
  CHECK_EQUAL(1, changes);
}

}  // namespace zinnia
