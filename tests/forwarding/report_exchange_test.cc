#include "zinnia_decisions/forwarding/observed_state/report_exchange.h"
#include "tests/forwarding/forwarding_fakes.h"
#include "zinnia_decisions/forwarding/observed_state/instance_directory.h"
#include "zinnia_decisions/forwarding/observed_state/instance_registration.h"
#include "zinnia_decisions/forwarding/observed_state/store_mirror.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(InstanceReports) {
  struct Transport final : ReportTransport {
    void Exchange(const NetworkAddress& peer,
                  const InstanceReport& report,
                  std::function<void(Result<MirrorDelta>)> callback) override {
      sent.emplace_back(peer, report);
      if (report.wants_records && answers_to_fetches) {
        callback(*answers_to_fetches);
      } else if (answer) {
        callback(*answer);
      }
    }
    std::vector<std::pair<NetworkAddress, InstanceReport>> sent;
    std::optional<MirrorDelta> answer;
    std::optional<MirrorDelta> answers_to_fetches;
  };
  struct Sink final : ReportSink {
    void OnDomainUses(const FailureDomainName& domain, LoadTracker::Uses reported) override {
      uses[domain] = std::move(reported);
    }
    void OnPeerStalls(const std::vector<StallReport>& from_peer) override {
      for (const StallReport& stall : from_peer) {
        stalls.push_back(stall.server);
      }
    }
    void OnPeerServerLimits(const std::vector<ServerLimitReport>& from_peer) override {
      limits = from_peer;
    }
    void OnPeerSlowdowns(const std::vector<SlowdownReport>& slow_servers) override {
      slow = slow_servers;
    }
    void OnPeerCleared(const std::vector<ClearedRequest>& requests) override {
      cleared.insert(cleared.end(), requests.begin(), requests.end());
    }
    void OnPeerAnswerLengths(const std::vector<AnswerLengthRow>&) override {}
    void OnPeerCrashes(const std::vector<CrashReport>& from_peer) override {
      crashes.insert(crashes.end(), from_peer.begin(), from_peer.end());
    }
    void OnPeerQuarantines(const std::vector<QuarantineReport>& from_peer) override {
      quarantines = from_peer;
    }
    std::vector<ClearedRequest> cleared;
    std::vector<CrashReport> crashes;
    std::vector<QuarantineReport> quarantines;
    std::vector<ServerLimitReport> limits;
    void OnPeerServerState(const ServerStateReport& from_peer) override {
      layers.push_back(from_peer);
    }
    std::map<InstanceName, LoadTracker::Uses> uses;
    std::vector<std::string> stalls;
    std::vector<SlowdownReport> slow;
    std::vector<ServerStateReport> layers;
  };

  VirtualTime time;
  FakeStore store{time};
  RecordingLogger logger;
  StoreMirror mirror{store, time, time, logger, {}};
  InstanceDirectory instances{time, MakeInstance("self", 1)};
  Transport transport;
  Sink sink;
  ReportExchange exchange{transport,         time, time, instances, mirror, sink, logger,
                          {{"10.0.0.7", 7}}, {}};

  static Instance MakeInstance(const std::string& name, std::uint16_t port) {
    Instance instance;
    instance.name = name;
    instance.peer_address = {"10.0.0.1", port};
    return instance;
  }

  InstanceReport ReportOf(const std::string& name) {
    InstanceReport report;
    report.instance = MakeInstance(name, 2);
    return report;
  }

  /** Delivers a report of each peer, then starts the exchange. */
  void ReceiveReportsAndStart(std::initializer_list<const char*> names) {
    for (const char* name : names) {
      exchange.OnReport(ReportOf(name));
    }
    exchange.Start();
    transport.sent.clear();
  }

  /** The report that is sent to peers now. */
  InstanceReport LastReport() {
    exchange.SendLeaving();
    return transport.sent.back().second;
  }
};

// Guards against an instance that never serves because the store refuses it at the start and peers
// are looked up only in the store.
TEST(InstanceReports, AnInstanceWithoutPeersFetchesRecordsFromSeeds) {
  transport.answer = MirrorDelta{true, {0, 9}, {{"k", {0, 5}, "v"}}};
  exchange.Start();
  time.AdvanceBy(milliseconds(250));
  CHECK_FALSE(transport.sent.empty());
  CHECK_EQUAL(7, transport.sent.front().first.port);
  CHECK_TRUE(mirror.IsFilled());
  CHECK_TRUE(mirror.Has("k"));
}

// Guards against several peers sending a large configuration at once over a slow link, so that no
// copy arrives in time.
TEST(InstanceReports, AnInstanceThatIsBehindFetchesFromOnePeerAtATime) {
  for (const char* name : {"a", "b", "c"}) {
    InstanceReport report = ReportOf(name);
    report.revision = {0, 9};
    exchange.OnReport(report);
  }
  CHECK_EQUAL(1U, transport.sent.size());
  CHECK_TRUE(transport.sent[0].second.wants_records);

  time.AdvanceBy(seconds(1));
  InstanceReport report = ReportOf("b");
  report.revision = {0, 9};
  transport.answer = MirrorDelta{true, {0, 9}, {{"k", {0, 5}, "v"}}};
  exchange.OnReport(report);
  CHECK_EQUAL(2U, transport.sent.size());
  CHECK_TRUE(mirror.Has("k"));
  exchange.OnReport(report);
  CHECK_EQUAL(2U, transport.sent.size());
}

TEST(InstanceReports, AReportIsAnsweredWithRecordsOnlyIfItWantsThem) {
  mirror.Merge({true, {0, 9}, {{"k", {0, 5}, "v"}}});
  InstanceReport report = ReportOf("peer");
  CHECK_EQUAL(0U, exchange.OnReport(report).records.size());
  CHECK_EQUAL(9U, exchange.OnReport(report).revision.number);
  report.wants_records = true;
  CHECK_EQUAL(1U, exchange.OnReport(report).records.size());
}

// Guards against a response without records being taken for "nothing changed", which would keep an
// old configuration for good.
TEST(InstanceReports, AResponseWithoutRecordsDoesNotAdvanceTheMirror) {
  mirror.Merge({true, {0, 4}, {{"k", {0, 4}, "old"}}});
  ReceiveReportsAndStart({"peer"});
  transport.answer = MirrorDelta{false, {0, 9}, {}};
  transport.answers_to_fetches = MirrorDelta{false, {0, 9}, {{"k", {0, 8}, "new"}}};
  exchange.SendLeaving();
  CHECK_EQUAL(2U, transport.sent.size());
  CHECK_EQUAL(8U, mirror.ChangesAfter({0, 4}).records.at(0).revision.number);
}

TEST(InstanceReports, PeersCountAsLiveForAWhileAfterAReport) {
  exchange.OnReport(ReportOf("peer"));
  CHECK_EQUAL(2U, instances.LiveInstances().size());
  time.AdvanceBy(seconds(6));
  CHECK_EQUAL(1U, instances.LiveInstances().size());
}

TEST(InstanceReports, AStallIsSentAtOnceAndOnlyOnce) {
  ReceiveReportsAndStart({"peer"});
  exchange.SendStall("s");
  exchange.SendStall("s");
  CHECK_EQUAL(1U, transport.sent.size());
  STRCMP_EQUAL("s", transport.sent[0].second.stalls[0].server.c_str());
}

TEST(InstanceReports, SlowServersAreSentAndReceived) {
  ReceiveReportsAndStart({"peer"});
  exchange.SetSlowServers({{"s", 5.0, milliseconds(10)}});
  exchange.SendLeaving();
  CHECK_EQUAL(1U, transport.sent.back().second.slow_servers.size());
  InstanceReport report = ReportOf("peer");
  report.slow_servers = {{"other", 4.0, milliseconds(30)}};
  exchange.OnReport(report);
  STRCMP_EQUAL("other", sink.slow.at(0).server.c_str());
}

TEST(InstanceReports, AServerStateIsReportedForAShortTime) {
  ReceiveReportsAndStart({"peer"});
  exchange.AddServerState({"s", {20, 40}});
  exchange.SendLeaving();
  CHECK_EQUAL(1U, transport.sent.back().second.server_states.size());
  time.AdvanceBy(seconds(1));
  exchange.SendLeaving();
  CHECK_EQUAL(0U, transport.sent.back().second.server_states.size());
  InstanceReport report = ReportOf("peer");
  report.server_states = {{"other", {0, 5}}};
  exchange.OnReport(report);
  STRCMP_EQUAL("other", sink.layers.at(0).server.c_str());
}

TEST(InstanceReports, AReceivedStallIsAppliedOnce) {
  InstanceReport report = ReportOf("peer");
  report.stalls.push_back({"s", milliseconds(30)});
  exchange.OnReport(report);
  exchange.OnReport(report);
  CHECK_EQUAL(1U, sink.stalls.size());
}

// Guards against a part of a prompt that is lost or told twice beside a request.
TEST(InstanceReports, SuspectsOfBothKindsAreAppliedOnceAndPassedOn) {
  ReceiveReportsAndStart({"other"});
  InstanceReport report = ReportOf("peer");
  for (const SuspectKind kind : kSuspectKinds) {
    report.crashes.push_back({{1, 2}, "s", CrashOnset::kBegun, {}, {}, {}, kind});
    report.cleared_requests.push_back({{1, 2}, {}, kind});
    report.quarantines.push_back({{1, 2}, seconds(1), seconds(1), kind});
  }
  exchange.OnReport(report);
  exchange.OnReport(report);
  const InstanceReport sent = LastReport();
  CHECK_EQUAL(kSuspectKinds.size(), sink.crashes.size());
  CHECK_EQUAL(kSuspectKinds.size(), sink.cleared.size());
  CHECK_EQUAL(kSuspectKinds.size(), sink.quarantines.size());
  CHECK_EQUAL(kSuspectKinds.size(), sent.crashes.size());
  CHECK_EQUAL(kSuspectKinds.size(), sent.cleared_requests.size());
  for (std::size_t row = 0; row < kSuspectKinds.size(); ++row) {
    CHECK_TRUE(sink.crashes.at(row).kind == kSuspectKinds[row]);
    CHECK_TRUE(sink.cleared.at(row).kind == kSuspectKinds[row]);
    CHECK_TRUE(sink.quarantines.at(row).kind == kSuspectKinds[row]);
    CHECK_TRUE(sent.crashes.at(row).kind == kSuspectKinds[row]);
    CHECK_TRUE(sent.cleared_requests.at(row).kind == kSuspectKinds[row]);
  }
}

TEST(InstanceReports, ACrashAndAClearedSuspectOfEachKindAreSentAtOnceAndOnlyOnce) {
  ReceiveReportsAndStart({"peer"});
  std::size_t sent = 0;
  for (const SuspectKind kind : kSuspectKinds) {
    for (int time_told = 0; time_told < 2; ++time_told) {
      exchange.SendCrashes({{{1, 2}, "s", CrashOnset::kBegun, {}, {}, {}, kind}});
      exchange.SendCleared({{{1, 2}, {}, kind}});
    }
    sent += 2;
    CHECK_EQUAL(sent, transport.sent.size());
    CHECK_TRUE(transport.sent.back().second.crashes.back().kind == kind);
    CHECK_TRUE(transport.sent.back().second.cleared_requests.back().kind == kind);
  }
}

// Guards against many quarantines of one kind that leave no room to those of the other.
TEST(InstanceReports, AReportHasRoomForQuarantinesOfEachKind) {
  ReceiveReportsAndStart({"peer"});
  std::vector<QuarantineReport> quarantines;
  for (const SuspectKind kind : kSuspectKinds) {
    for (std::uint64_t number = 0; number < 2 * ReportExchange::kMaxQuarantines; ++number) {
      quarantines.push_back({{1, number}, seconds(1), seconds(1), kind});
    }
  }
  exchange.SetQuarantines(quarantines);
  const std::vector<QuarantineReport> sent = LastReport().quarantines;
  CHECK_EQUAL(kSuspectKinds.size() * ReportExchange::kMaxQuarantines, sent.size());
  CHECK_TRUE(sent.front().kind == SuspectKind::kRequest);
  CHECK_TRUE(sent.at(ReportExchange::kMaxQuarantines - 1).kind == SuspectKind::kRequest);
  CHECK_TRUE(sent.at(ReportExchange::kMaxQuarantines).kind == SuspectKind::kPromptPart);
  CHECK_EQUAL(0U, sent.at(ReportExchange::kMaxQuarantines).request.low);
}

// Guards against an instance that the store refuses taking its own failures for an outage and
// sending requests to a leaving server.
TEST(InstanceReports, APeerThatTheStoreServesProvesThatThereIsNoOutage) {
  CHECK_FALSE(exchange.AnyPeerSeesStableStore());
  InstanceReport report = ReportOf("peer");
  report.stable_store_age = milliseconds(0);
  exchange.OnReport(report);
  CHECK_TRUE(exchange.AnyPeerSeesStableStore());
  time.AdvanceBy(milliseconds(1'300));
  CHECK_FALSE(exchange.AnyPeerSeesStableStore());
}

TEST(InstanceReports, APeerThatTheStoreHasServedForLongProvesThatItHasSettled) {
  InstanceReport report = ReportOf("peer");
  report.stable_store_age = milliseconds(0);
  exchange.OnReport(report);
  CHECK_FALSE(exchange.IsStoreSettled());
  report.settled_store_age = milliseconds(0);
  exchange.OnReport(report);
  CHECK_TRUE(exchange.IsStoreSettled());
  time.AdvanceBy(milliseconds(1'300));
  CHECK_FALSE(exchange.IsStoreSettled());
}

// Guards against every instance watching the store, which exceeds the store's rate limits.
TEST(InstanceReports, OthersWatchTheStoreOnlyIfItsWatchersAreSilent) {
  const auto report_watcher = [this](const char* name) {
    InstanceReport report = ReportOf(name);
    report.store_watcher_age = milliseconds(0);
    exchange.OnReport(report);
  };
  exchange.Start();
  report_watcher("another");
  time.AdvanceBy(milliseconds(200));
  CHECK_TRUE(exchange.ShouldWatchStore());
  report_watcher("before");
  time.AdvanceBy(milliseconds(200));
  CHECK_FALSE(exchange.ShouldWatchStore());
  time.AdvanceBy(milliseconds(700));
  CHECK_FALSE(exchange.ShouldWatchStore());
  time.AdvanceBy(seconds(2));
  CHECK_TRUE(exchange.ShouldWatchStore());
}

// Guards against two relays confirming to each other for ever that a store watcher exists after all
// were lost.
TEST(InstanceReports, StoreWatcherAgeGrowsWhileForwarded) {
  ReceiveReportsAndStart({"another", "before"});
  InstanceReport report = ReportOf("another");
  report.store_watcher_age = milliseconds(700);
  exchange.OnReport(report);
  time.AdvanceBy(milliseconds(400));
  report.store_watcher_age = milliseconds(1'100);
  exchange.OnReport(report);
  CHECK_FALSE(exchange.ShouldWatchStore());
  CHECK_EQUAL(1'100, LastReport().store_watcher_age->count());
  time.AdvanceBy(milliseconds(300));
  report.store_watcher_age = milliseconds(1'400);
  exchange.OnReport(report);
  CHECK_TRUE(exchange.ShouldWatchStore());
}

// Guards against a change waiting for the next regular report to each member.
TEST(InstanceReports, AStoreWatcherSendsANewRevisionAtOnceAndOnlyOnce) {
  ReceiveReportsAndStart({"peer"});
  mirror.Merge({true, {0, 9}, {{"k", {0, 5}, "v"}}});
  exchange.SendRevision();
  exchange.SendRevision();
  CHECK_EQUAL(1U, transport.sent.size());
  CHECK_EQUAL(9U, transport.sent[0].second.revision.number);
}

TEST(InstanceReports, ALeavingInstanceIsRemovedAtOnce) {
  InstanceReport report = ReportOf("peer");
  exchange.OnReport(report);
  report.leaving = true;
  exchange.OnReport(report);
  CHECK_EQUAL(1U, instances.LiveInstances().size());
}

// Guards against two additional store calls for each instance when a whole fleet restarts.
TEST(InstanceReports, ARecordThatIsKnownIsWrittenWithoutBeingReadFirst) {
  store.Put("instances/self", "of before");
  InstanceRegistration registration(store, time, logger, MakeInstance("self", 1));
  registration.Start();
  registration.SetKnownVersion(store.version);
  time.AdvanceBy(milliseconds(200));
  CHECK_EQUAL(0, store.gets);
  CHECK_TRUE(*store.records["instances/self"].value != "of before");
}

TEST(InstanceReports, ARecordOfAnUnknownVersionIsReadAndReplaced) {
  store.Put("instances/self", "of before");
  InstanceRegistration registration(store, time, logger, MakeInstance("self", 1));
  registration.Start();
  time.AdvanceBy(seconds(3));
  CHECK_EQUAL(1, store.gets);
  CHECK_TRUE(*store.records["instances/self"].value != "of before");
}

TEST(InstanceReports, InstanceRecordsReadBackAsWritten) {
  const Instance written = MakeInstance("n", 5);
  const auto read =
      InstanceRegistration::Decode("instances/n", InstanceRegistration::Encode(written));
  CHECK_TRUE(read.has_value());
  CHECK_TRUE(written == *read);
  CHECK_FALSE(InstanceRegistration::Decode("instances/n", "nonsense").has_value());
  CHECK_FALSE(InstanceRegistration::Decode("other/n", "{}").has_value());
}

// Guards against an instance that another writer made up: it would take shares, relays and
// requests.
TEST(InstanceReports, AnOddRecordNamesNoInstance) {
  const std::string sound = InstanceRegistration::Encode(MakeInstance("n", 5));
  const std::string deep = std::string(100'000, '[');
  const auto with = [&](const std::string& field, const std::string& value) {
    const std::size_t begin = sound.find("\"" + field + "\":") + field.size() + 3;
    const std::size_t end = sound.find_first_of(",}", begin);
    return sound.substr(0, begin) + value + sound.substr(end);
  };
  CHECK_TRUE(InstanceRegistration::Decode("instances/n", with("cores", "4")).has_value());
  for (const std::string& odd :
       {with("address", "\"127.0.0.1:99999\""), with("address", "\"127.0.0.1:0\""),
        with("address", "7"), with("start", "-1"), with("start", "1e30"), with("start", "\"x\""),
        with("requests_port", "65536"), with("requests_port", "-1"), with("requests_port", "0.5"),
        with("cores", "-1"), with("cores", "1e300"), with("cores", "1e999"), with("cores", "[]"),
        with("link_mbps", "-0.5"), with("link_mbps", "1e300"), with("link_mbps", deep)}) {
    CHECK_FALSE_TEXT(InstanceRegistration::Decode("instances/n", odd).has_value(),
                     odd.substr(0, 200).c_str());
  }
}

}  // namespace zinnia
