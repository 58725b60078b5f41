#include "tests/forwarding/forwarding_fakes.h"
#include "zinnia_decisions/forwarding/beliefs/instance_directory.h"
#include "zinnia_decisions/forwarding/beliefs/instance_registration.h"
#include "zinnia_decisions/forwarding/beliefs/news_exchange.h"
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
  CHECK_FALSE(mirror.IsSteadyFor(seconds(2)));
  time.AdvanceBy(seconds(1));
  CHECK_EQUAL(before, store.last_watch_after);
  store.Put("a", "2");
  Watched();
  STRCMP_EQUAL("2", seen.values["a"]->c_str());
  CHECK_FALSE(mirror.IsSteadyFor(seconds(2)));
  time.AdvanceBy(seconds(2));
  CHECK_TRUE(mirror.IsSteadyFor(seconds(2)));
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
  mirror.SetReading(StoreReading::kSubstitute, 9);
  CHECK_TRUE(calls_in_ten_seconds() <= 9);
  mirror.SetReading(StoreReading::kSubstitute, 200);
  CHECK_TRUE(calls_in_ten_seconds() <= 4);
  mirror.SetReading(StoreReading::kReader, 200);
  CHECK_TRUE(calls_in_ten_seconds() >= 15);
}

// Symptom: a watch that hears of nothing costs two hundred instances a call each two seconds.
// Sequence: a reader's word reaches all of them. Cause: each watches the store all the same.
TEST(Mirror, WhoNeedNotReadMakesNoCalls) {
  mirror.SetReading(StoreReading::kNone, 200);
  Watched();
  time.AdvanceBy(seconds(30));
  CHECK_EQUAL(0U, store.watches.size());
  CHECK_EQUAL(1, store.lists);
}

// Symptom: two hundred calls to the store in the moment in which a domain's relays are lost.
// Sequence: all members miss the readers' word at the same time. Cause: all try at once.
TEST(Mirror, SubstitutesSpreadTheirFirstCalls) {
  StoreMirrorSettings settings;
  settings.place = 0.5;
  HeldStore quiet{time};
  StoreMirror late{quiet, time, time, logger, settings};
  late.SetReading(StoreReading::kNone, 200);
  late.Start();
  time.AdvanceBy(seconds(1));
  late.SetReading(StoreReading::kSubstitute, 200);
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
  CHECK_TRUE(mirror.IsSteadyFor(seconds(2)));
  time.AdvanceBy(seconds(3));
  CHECK_FALSE(mirror.IsSteadyFor(seconds(2)));
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
  mirror.SetReading(StoreReading::kNone, 1);
  Watched();
  time.AdvanceBy(seconds(6));
  CHECK_EQUAL(0U, store.watches.size());
  store.Put("a", "2");
  mirror.SetReading(StoreReading::kReader, 1);
  CHECK_EQUAL(1U, store.watches.size());
  Watched();
  STRCMP_EQUAL("2", seen.values["a"]->c_str());
}

TEST(Mirror, ANewReaderThatPausesStartsOneWatchAndNotTwo) {
  mirror.SetReading(StoreReading::kSubstitute, 1);
  Watched();
  CHECK_EQUAL(0U, store.watches.size());
  mirror.SetReading(StoreReading::kReader, 1);
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
  CHECK_TRUE(directory.NoteLayers({"s", {20, 40}}));
  CHECK_FALSE(directory.NoteLayers({"s", {20, 40}}));
  CHECK_FALSE(directory.NoteLayers({"stranger", {20, 40}}));
  CHECK_EQUAL(20U, directory.All().at("s").layers.first);
  Put(EngineServer("s", "fast", "x", {0, 5}));
  CHECK_EQUAL(0U, directory.All().at("s").layers.first);
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
  CHECK_FALSE(directory.NoteLayers({"s@100", {0, 40}}));
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

TEST_GROUP(News) {
  struct Transport final : NewsTransport {
    void Exchange(const NetworkAddress& peer,
                  const NewsReport& report,
                  std::function<void(Result<MirrorDelta>)> callback) override {
      sent.emplace_back(peer, report);
      if (report.wants_records && answers_to_fetches) {
        callback(*answers_to_fetches);
      } else if (answer) {
        callback(*answer);
      }
    }
    std::vector<std::pair<NetworkAddress, NewsReport>> sent;
    std::optional<MirrorDelta> answer;
    std::optional<MirrorDelta> answers_to_fetches;
  };
  struct Sink final : NewsSink {
    void OnDomainUses(const FailureDomainName& domain, LoadBook::Uses reported) override {
      uses[domain] = std::move(reported);
    }
    void OnPeerStall(const StallNews& stall) override { stalls.push_back(stall.server); }
    void OnPeerPaces(const std::vector<PaceNews>& slow_servers) override { slow = slow_servers; }
    void OnPeerLayers(const LayersNews& heard) override { layers.push_back(heard); }
    std::map<InstanceName, LoadBook::Uses> uses;
    std::vector<std::string> stalls;
    std::vector<PaceNews> slow;
    std::vector<LayersNews> layers;
  };

  VirtualTime time;
  HeldStore store{time};
  SilentLogger logger;
  StoreMirror mirror{store, time, time, logger, {}};
  InstanceDirectory instances{time, MakeInstance("self", 1)};
  Transport transport;
  Sink sink;
  NewsExchange news{transport, time, time, instances, mirror, sink, {{"10.0.0.7", 7}}, {}};

  static Instance MakeInstance(const std::string& name, std::uint16_t port) {
    Instance instance;
    instance.name = name;
    instance.peer_address = {"10.0.0.1", port};
    return instance;
  }

  NewsReport ReportOf(const std::string& name) {
    NewsReport report;
    report.instance = MakeInstance(name, 2);
    return report;
  }

  /** Lets it hear the peers and know what is whose part. */
  void Know(std::initializer_list<const char*> names) {
    for (const char* name : names) {
      news.OnNews(ReportOf(name));
    }
    news.Start();
    transport.sent.clear();
  }

  /** What it tells peers now. */
  NewsReport LastReport() {
    news.TellLeaving();
    return transport.sent.back().second;
  }
};

// Symptom: an instance that starts while the store refuses it never serves. Sequence: start, store
// silent, no peer known. Cause: peers looked up only in the store.
TEST(News, AnInstanceThatKnowsNobodyAsksTheSeedsAndLearnsEverything) {
  transport.answer = MirrorDelta{true, 9, {{"k", 5, "v"}}};
  news.Start();
  time.AdvanceBy(milliseconds(250));
  CHECK_FALSE(transport.sent.empty());
  CHECK_EQUAL(7, transport.sent.front().first.port);
  CHECK_TRUE(mirror.IsFilled());
  CHECK_TRUE(mirror.Has("k"));
}

// Symptom: a configuration is not in force eleven seconds after its change. Sequence: the store
// refuses an instance on a slow link; its peers know a large configuration; each answers its
// reports with all of it. Cause: sixteen copies at once, none of which arrived within its limit.
TEST(News, AnInstanceThatIsBehindFetchesFromOnePeerAtATime) {
  for (const char* name : {"a", "b", "c"}) {
    NewsReport report = ReportOf(name);
    report.revision = 9;
    news.OnNews(report);
  }
  CHECK_EQUAL(1U, transport.sent.size());
  CHECK_TRUE(transport.sent[0].second.wants_records);

  time.AdvanceBy(seconds(1));
  NewsReport report = ReportOf("b");
  report.revision = 9;
  transport.answer = MirrorDelta{true, 9, {{"k", 5, "v"}}};
  news.OnNews(report);
  CHECK_EQUAL(2U, transport.sent.size());
  CHECK_TRUE(mirror.Has("k"));
  news.OnNews(report);
  CHECK_EQUAL(2U, transport.sent.size());
}

TEST(News, AReportIsAnsweredWithRecordsOnlyIfItWantsThem) {
  mirror.Merge({true, 9, {{"k", 5, "v"}}});
  NewsReport report = ReportOf("peer");
  CHECK_EQUAL(0U, news.OnNews(report).records.size());
  CHECK_EQUAL(9U, news.OnNews(report).revision);
  report.wants_records = true;
  CHECK_EQUAL(1U, news.OnNews(report).records.size());
}

// Symptom: an instance keeps an old configuration for good. Sequence: a peer's answer says how far
// it knows the records without holding any. Cause: such an answer taken for "nothing changed".
TEST(News, AnAnswerWithoutRecordsDoesNotMoveTheCopyForward) {
  mirror.Merge({true, 4, {{"k", 4, "old"}}});
  Know({"peer"});
  transport.answer = MirrorDelta{false, 9, {}};
  transport.answers_to_fetches = MirrorDelta{false, 9, {{"k", 8, "new"}}};
  news.TellLeaving();
  CHECK_EQUAL(2U, transport.sent.size());
  CHECK_EQUAL(8U, mirror.ChangesAfter(4).records.at(0).revision);
}

TEST(News, PeersThatWereHeardCountAsAliveForAWhile) {
  news.OnNews(ReportOf("peer"));
  CHECK_EQUAL(2U, instances.LiveInstances().size());
  time.AdvanceBy(seconds(6));
  CHECK_EQUAL(1U, instances.LiveInstances().size());
}

TEST(News, AStallGoesToPeersAtOnceAndOnlyOnce) {
  Know({"peer"});
  news.TellStall("s");
  news.TellStall("s");
  CHECK_EQUAL(1U, transport.sent.size());
  STRCMP_EQUAL("s", transport.sent[0].second.stalls[0].server.c_str());
}

TEST(News, SlowServersAreToldAndHeard) {
  Know({"peer"});
  news.SetSlowServers({{"s", 5.0, milliseconds(10)}});
  news.TellLeaving();
  CHECK_EQUAL(1U, transport.sent.back().second.slow_servers.size());
  NewsReport report = ReportOf("peer");
  report.slow_servers = {{"other", 4.0, milliseconds(30)}};
  news.OnNews(report);
  STRCMP_EQUAL("other", sink.slow.at(0).server.c_str());
}

TEST(News, LayersThatAServerNamedAreToldForAMoment) {
  Know({"peer"});
  news.TellLayers({"s", {20, 40}});
  news.TellLeaving();
  CHECK_EQUAL(1U, transport.sent.back().second.layers.size());
  time.AdvanceBy(seconds(1));
  news.TellLeaving();
  CHECK_EQUAL(0U, transport.sent.back().second.layers.size());
  NewsReport report = ReportOf("peer");
  report.layers = {{"other", {0, 5}}};
  news.OnNews(report);
  STRCMP_EQUAL("other", sink.layers.at(0).server.c_str());
}

TEST(News, AStallHeardIsTakenInOnce) {
  NewsReport report = ReportOf("peer");
  report.stalls.push_back({"s", milliseconds(30)});
  news.OnNews(report);
  news.OnNews(report);
  CHECK_EQUAL(1U, sink.stalls.size());
}

// Symptom: a leaving server gets requests two seconds after it said so. Sequence: the store refuses
// one instance and serves the others; the server leaves meanwhile. Cause: the refused instance
// takes its own failures for an outage of the store.
TEST(News, APeerThatTheStoreServesProvesThatThereIsNoOutage) {
  CHECK_FALSE(news.SomePeerIsSteady());
  NewsReport report = ReportOf("peer");
  report.steady_age = milliseconds(0);
  news.OnNews(report);
  CHECK_TRUE(news.SomePeerIsSteady());
  time.AdvanceBy(milliseconds(1'300));
  CHECK_FALSE(news.SomePeerIsSteady());
}

// Symptom: the store's rates are used up by waiting watches of eighty instances. Sequence: each
// instance polls briefly for fear of deaf watches. Cause: no division of that work.
TEST(News, TheReadersReadAndTheOthersOnlyWhenTheyAreSilent) {
  const auto hear = [this](const char* name) {
    NewsReport report = ReportOf(name);
    report.reader_age = milliseconds(0);
    news.OnNews(report);
  };
  news.Start();
  hear("another");
  time.AdvanceBy(milliseconds(200));
  CHECK_TRUE(news.ShouldRead());
  hear("before");
  time.AdvanceBy(milliseconds(200));
  CHECK_FALSE(news.ShouldRead());
  time.AdvanceBy(milliseconds(700));
  CHECK_FALSE(news.ShouldRead());
  time.AdvanceBy(seconds(2));
  CHECK_TRUE(news.ShouldRead());
}

// Symptom: after the readers were lost, a configuration comes into force ten seconds late.
// Sequence: two relays tell each other that a reader was heard, for ever. Cause: news of a reader
// without its age.
TEST(News, TheWordOfAReaderAgesOnItsWay) {
  Know({"another", "before"});
  NewsReport report = ReportOf("another");
  report.reader_age = milliseconds(700);
  news.OnNews(report);
  time.AdvanceBy(milliseconds(400));
  report.reader_age = milliseconds(1'100);
  news.OnNews(report);
  CHECK_FALSE(news.ShouldRead());
  CHECK_EQUAL(1'100, LastReport().reader_age->count());
  time.AdvanceBy(milliseconds(200));
  report.reader_age = milliseconds(1'300);
  news.OnNews(report);
  CHECK_TRUE(news.ShouldRead());
}

// Symptom: a change is in force two seconds late on instances that do not read the store. Sequence:
// their reader learns of it and tells them in turn. Cause: news of a change waited for its turn.
TEST(News, AReaderTellsItsDomainOfAChangeAtOnceAndOnlyOnce) {
  Know({"peer"});
  mirror.Merge({true, 9, {{"k", 5, "v"}}});
  news.TellAdvance();
  news.TellAdvance();
  CHECK_EQUAL(1U, transport.sent.size());
  CHECK_EQUAL(9U, transport.sent[0].second.revision);
}

TEST(News, AnInstanceThatLeavesIsForgottenAtOnce) {
  NewsReport report = ReportOf("peer");
  news.OnNews(report);
  report.leaving = true;
  news.OnNews(report);
  CHECK_EQUAL(1U, instances.LiveInstances().size());
}

// Symptom: 195 instances that start again together make 390 calls more than they need. Sequence:
// each writes its record as new, is told that there is one, reads it and writes again. Cause: the
// record of its former self, which the first list showed, is not used.
TEST(News, ARecordThatIsKnownIsWrittenWithoutBeingReadFirst) {
  store.Put("instances/self", "of before");
  InstanceRegistration registration(store, time, logger, MakeInstance("self", 1));
  registration.Start();
  registration.NoteRecord(store.version);
  time.AdvanceBy(milliseconds(200));
  CHECK_EQUAL(0, store.gets);
  CHECK_TRUE(*store.records["instances/self"].value != "of before");
}

TEST(News, ARecordOfAnUnknownVersionIsReadAndReplaced) {
  store.Put("instances/self", "of before");
  InstanceRegistration registration(store, time, logger, MakeInstance("self", 1));
  registration.Start();
  time.AdvanceBy(seconds(3));
  CHECK_EQUAL(1, store.gets);
  CHECK_TRUE(*store.records["instances/self"].value != "of before");
}

TEST(News, InstanceRecordsReadBackAsWritten) {
  const Instance written = MakeInstance("n", 5);
  const auto read =
      InstanceRegistration::Decode("instances/n", InstanceRegistration::Encode(written));
  CHECK_TRUE(read.has_value());
  CHECK_TRUE(written == *read);
  CHECK_FALSE(InstanceRegistration::Decode("instances/n", "nonsense").has_value());
  CHECK_FALSE(InstanceRegistration::Decode("other/n", "{}").has_value());
}

}  // namespace zinnia
