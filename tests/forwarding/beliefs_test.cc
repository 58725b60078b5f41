#include "tests/forwarding/forwarding_fakes.h"
#include "zinnia_decisions/forwarding/beliefs/server_directory.h"
#include "zinnia_decisions/forwarding/beliefs/store_mirror.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Mirror) {
  VirtualTime time;
  HeldStore store{time};
  SilentLogger logger;
  RecordedMirror seen;
  StoreMirror mirror{store, time, time, logger, {}};

  void setup() override {
    store.Put("a", "1");
    store.Put("b", "1");
    mirror.SetListener(&seen);
    mirror.Start();
    time.AdvanceBy(milliseconds(600));
  }

  void Watched() {
    store.AnswerWatch();
    time.AdvanceBy(milliseconds(100));
  }
};

TEST(Mirror, ListsOnceThenFollowsByWatches) {
  CHECK_TRUE(mirror.IsFilled());
  store.Put("a", "2");
  store.Erase("b");
  Watched();
  STRCMP_EQUAL("2", seen.values["a"]->c_str());
  CHECK_FALSE(seen.values["b"].has_value());
  CHECK_EQUAL(1, store.lists);
}

// Symptom: a server that left long ago still gets requests. Sequence: watches hear nothing while
// the server leaves, then the store drops its history. Cause: watching on from the newest revision
// without listing what is left.
TEST(Mirror, ALostHistoryIsListedAnewAndWhatIsMissingIsGone) {
  store.Erase("b");
  store.Put("c", "1");
  store.FailWatch(ErrorKind::kStoreHistoryLost);
  time.AdvanceBy(milliseconds(10));
  CHECK_EQUAL(2, store.lists);
  CHECK_FALSE(seen.values["b"].has_value());
  STRCMP_EQUAL("1", seen.values["c"]->c_str());
}

TEST(Mirror, GoesOnWatchingFromWhereItWasAfterAFailure) {
  const std::uint64_t before = mirror.Revision();
  store.FailWatch(ErrorKind::kStoreUnavailable);
  CHECK_FALSE(mirror.IsStableFor(seconds(2)));
  time.AdvanceBy(seconds(1));
  CHECK_EQUAL(before, store.last_watch_after);
  store.Put("a", "2");
  Watched();
  STRCMP_EQUAL("2", seen.values["a"]->c_str());
  CHECK_FALSE(mirror.IsStableFor(seconds(2)));
  time.AdvanceBy(seconds(2));
  CHECK_TRUE(mirror.IsStableFor(seconds(2)));
}

// Symptom: an outage of the store costs two thousand calls. Sequence: no reader is in contact, so
// all eighty instances try twice a second. Cause: each tried as often as if others relied on it.
TEST(Mirror, ASubstituteTriesAnAbsentStoreSeldom) {
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

// Symptom: a watch that hears of nothing costs two hundred instances a call each two seconds.
// Sequence: a reader's word reaches all of them. Cause: each watches the store all the same.
TEST(Mirror, WhoNeedNotReadMakesNoCalls) {
  mirror.SetWatchRole(StoreWatchRole::kNone, 200);
  Watched();
  time.AdvanceBy(seconds(30));
  CHECK_EQUAL(0U, store.watches.size());
  CHECK_EQUAL(1, store.lists);
}

// Symptom: two hundred calls to the store in the moment in which a domain's relays are lost.
// Sequence: all members miss the readers' word at the same time. Cause: all try at once.
TEST(Mirror, SubstitutesSpreadTheirFirstCalls) {
  StoreMirrorSettings settings;
  settings.spread_position = 0.5;
  HeldStore quiet{time};
  StoreMirror late{quiet, time, time, logger, settings};
  late.SetWatchRole(StoreWatchRole::kNone, 200);
  late.Start();
  time.AdvanceBy(seconds(1));
  late.SetWatchRole(StoreWatchRole::kSubstitute, 200);
  time.AdvanceBy(milliseconds(400));
  CHECK_EQUAL(0U, quiet.watches.size());
  time.AdvanceBy(milliseconds(200));
  CHECK_EQUAL(1U, quiet.watches.size());
}

// Symptom: after an outage of the store all its servers are dropped. Sequence: an instance that
// seldom asks the store has not noticed the outage; it tells its peers that the store is steady;
// they take lapsed entries for servers that left. Cause: silence taken for steadiness.
TEST(Mirror, AStoreThatWasNotAskedLatelyIsNotSteady) {
  Watched();
  CHECK_TRUE(mirror.IsStableFor(seconds(2)));
  time.AdvanceBy(seconds(3));
  CHECK_FALSE(mirror.IsStableFor(seconds(2)));
}

// Symptom: an old configuration comes into force again. Sequence: a peer that lags sends its
// records. Cause: news applied by arrival instead of by revision.
TEST(Mirror, OlderNewsOfPeersChangesNothing) {
  store.Put("a", "2");
  Watched();
  mirror.Merge({true, 2, {{"a", 2, "1"}}});
  STRCMP_EQUAL("2", seen.values["a"]->c_str());
  CHECK_TRUE(mirror.Has("b"));
}

TEST(Mirror, APeerThatLagsGetsJustWhatItLacks) {
  const std::uint64_t before = mirror.Revision();
  store.Put("c", "1");
  store.Erase("b");
  Watched();
  const MirrorDelta delta = mirror.ChangesAfter(before);
  CHECK_FALSE(delta.complete);
  CHECK_EQUAL(2U, delta.records.size());

  RecordedMirror other_seen;
  StoreMirror other{store, time, time, logger, {}};
  other.SetListener(&other_seen);
  other.Merge(mirror.ChangesAfter(0));
  CHECK_TRUE(other.IsFilled());
  CHECK_TRUE(other.Has("c"));
  CHECK_FALSE(other.Has("b"));
}

// Symptom: a changed configuration is in force after six seconds. Sequence: the readers are lost,
// and an instance that relied on them becomes one. Cause: it begins only after a pause.
TEST(Mirror, ANewReaderWatchesAtOnce) {
  mirror.SetWatchRole(StoreWatchRole::kNone, 1);
  Watched();
  time.AdvanceBy(seconds(6));
  CHECK_EQUAL(0U, store.watches.size());
  store.Put("a", "2");
  mirror.SetWatchRole(StoreWatchRole::kStoreWatcher, 1);
  CHECK_EQUAL(1U, store.watches.size());
  Watched();
  STRCMP_EQUAL("2", seen.values["a"]->c_str());
}

TEST(Mirror, ANewReaderThatPausesStartsOneWatchAndNotTwo) {
  mirror.SetWatchRole(StoreWatchRole::kSubstitute, 1);
  Watched();
  CHECK_EQUAL(0U, store.watches.size());
  mirror.SetWatchRole(StoreWatchRole::kStoreWatcher, 1);
  time.AdvanceBy(seconds(2));
  CHECK_EQUAL(1U, store.watches.size());
}

TEST_GROUP(Servers) {
  VirtualTime time;
  SilentLogger logger;
  ServerDirectory directory{time, logger};
  int changes = 0;

  void setup() override {
    Put(EngineServer("s", "fast", "x"));
  }
  void Put(ServerEntry entry) {
    directory.Put(std::move(entry), [this] { ++changes; });
  }
  ServerEntry Start(std::uint64_t started_at_ms, LayerRange layers = {}) {
    ServerEntry entry = EngineServer("s", "fast", "x", layers);
    entry.name = "s@" + std::to_string(started_at_ms);
    entry.started_at_ms = started_at_ms;
    return entry;
  }
  bool Hear(const ServerStateReport& news) {
    return directory.NoteServerNews(news, [this] { ++changes; });
  }
  void Remove(bool in_doubt) {
    directory.Remove("s", in_doubt, [this] { ++changes; });
  }
};

TEST(Servers, ARemovalWithoutDoubtActsAtOnce) {
  Remove(false);
  CHECK_TRUE(directory.All().empty());
}

// Symptom: everything is refused for seconds after an outage of the store. Sequence: leases of the
// servers' entries lapse while the store is away; it comes back without the entries, and the
// servers register again a second later. Cause: lapsed entries taken for dead servers.
TEST(Servers, AnEntryThatLapsedInAnOutageMayReturn) {
  Remove(true);
  CHECK_EQUAL(1U, directory.All().size());
  time.AdvanceBy(seconds(1));
  Put(EngineServer("s", "fast", "x"));
  time.AdvanceBy(seconds(5));
  CHECK_EQUAL(1U, directory.All().size());
  CHECK_EQUAL(0, changes);
}

// Symptom: requests over moved layers are refused until the store is back. Sequence: an engine is
// ordered to take other layers, the store goes away before its entry changes. Cause: only entries
// believed.
TEST(Servers, LayersThatAServerNamesCountUntilItsNextEntry) {
  CHECK_TRUE(Hear({"s", {20, 40}}));
  CHECK_FALSE(Hear({"s", {20, 40}}));
  CHECK_FALSE(Hear({"stranger", {20, 40}}));
  CHECK_EQUAL(20U, directory.All().at("s").layers.first);
  Put(EngineServer("s", "fast", "x", {0, 5}));
  CHECK_EQUAL(0U, directory.All().at("s").layers.first);
}

// Symptom: callers are refused by servers that take no new work for as long as the store is away.
// Sequence: a server that is to end cannot say so in the store. Cause: only entries believed.
TEST(Servers, AServerThatTakesNoNewWorkLeavesUntilItsNextEntry) {
  const LayerRange held = directory.All().at("s").layers;
  CHECK_TRUE(Hear({"s", {}, true}));
  CHECK_FALSE(Hear({"s", {}, true}));
  CHECK_TRUE(directory.All().at("s").draining);
  CHECK_TRUE(directory.All().at("s").layers == held);
  Put(EngineServer("s", "fast", "x", held));
  CHECK_FALSE(directory.All().at("s").draining);
  CHECK_EQUAL(0, changes);
}

// Symptom: a sound server gets no requests any more. Sequence: it refuses one, and its health check
// lies; its entry stays as it was. Cause: hearsay believed for ever.
TEST(Servers, ThatAServerLeavesIsBelievedForAWhileAfterItWasLastHeard) {
  Hear({"s", {}, true});
  time.AdvanceBy(seconds(4));
  Hear({"s", {}, true});
  time.AdvanceBy(seconds(4));
  CHECK_TRUE(directory.All().at("s").draining);
  time.AdvanceBy(seconds(3));
  CHECK_FALSE(directory.All().at("s").draining);
  CHECK_EQUAL(1, changes);
}

// Symptom: a leaving server gets requests again. Sequence: it refuses while the store is away; the
// store is back and its entry says that it leaves; six seconds after the refusal the hearsay ends.
// Cause: the end of hearsay applied to what the entry says.
TEST(Servers, AnAnnouncementReplacesHearsay) {
  Hear({"s", {}, true});
  time.AdvanceBy(seconds(3));
  ServerEntry leaving = EngineServer("s", "fast", "x");
  leaving.draining = true;
  Put(leaving);
  time.AdvanceBy(seconds(4));
  CHECK_TRUE(directory.All().at("s").draining);
}

TEST(Servers, AnAnnouncedDepartureDoesNotEndAsHearsayDoes) {
  ServerEntry leaving = EngineServer("s", "fast", "x");
  leaving.draining = true;
  Put(leaving);
  CHECK_FALSE(Hear({"s", {}, true}));
  time.AdvanceBy(seconds(7));
  CHECK_TRUE(directory.All().at("s").draining);
}

// Symptom: streams stand still for half a second and more, and orders meant for an engine's former
// start are counted on. Sequence: a server crashes and starts again under its registration before
// its entry lapses. Cause: the new entry taken for a change of the old one.
TEST(Servers, ALaterStartEndsTheEarlierOne) {
  Put(Start(100, {0, 40}));
  Put(Start(200));
  CHECK_EQUAL(1U, directory.All().size());
  CHECK_EQUAL(0U, directory.All().at("s@200").layers.Count());
  CHECK_TRUE(directory.Ended().contains("s@100"));
  CHECK_FALSE(Hear({"s@100", {0, 40}}));
  Put(Start(300));
  CHECK_EQUAL(1U, directory.All().size());
  CHECK_TRUE(directory.Ended().contains("s@200"));
}

// Symptom: requests go to layers that a server lost when it crashed. Sequence: the last write of
// the earlier start reaches the store after the later start has registered. Cause: the newest
// record believed, whoever wrote it.
TEST(Servers, ALateWriteOfAnEarlierStartIsNotBelieved) {
  Put(Start(200));
  Put(Start(100, {0, 40}));
  time.AdvanceBy(seconds(1));
  CHECK_TRUE(directory.All().contains("s@200"));
  Put(Start(200, {0, 20}));
  time.AdvanceBy(seconds(5));
  CHECK_EQUAL(20U, directory.All().at("s@200").layers.end);
  CHECK_EQUAL(0, changes);
}

// Symptom: a server that lives gets nothing for good. Sequence: it starts again with a clock that
// is behind. Cause: starts ordered by their clocks alone.
TEST(Servers, AStartWhoseClockIsBehindIsBelievedWhenItsEntryStays) {
  Put(Start(200, {0, 40}));
  Put(Start(100));
  time.AdvanceBy(seconds(3));
  CHECK_EQUAL(1, changes);
  CHECK_TRUE(directory.All().contains("s@100"));
  CHECK_TRUE(directory.Ended().contains("s@200"));
}

TEST(Servers, ARecordThatCannotBeReadNamesNoServer) {
  Put(Start(100));
  directory.Invalidate("s");
  CHECK_TRUE(directory.All().empty());
  Put(Start(100));
  CHECK_EQUAL(1U, directory.All().size());
}

// A start again within an outage: the entry lapses, and what returns is another start.
TEST(Servers, AnEntryThatLapsedMayReturnAsALaterStart) {
  Put(Start(100, {0, 40}));
  Remove(true);
  time.AdvanceBy(seconds(1));
  Put(Start(200));
  time.AdvanceBy(seconds(5));
  CHECK_EQUAL(1U, directory.All().size());
  CHECK_TRUE(directory.All().contains("s@200"));
}

TEST(Servers, AnEntryThatDoesNotReturnIsGone) {
  Remove(true);
  time.AdvanceBy(seconds(3));
  CHECK_TRUE(directory.All().empty());
  CHECK_EQUAL(1, changes);
}

}  // namespace zinnia
