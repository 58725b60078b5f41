#include "tests/forwarding/forwarding_fakes.h"
#include "zinnia_decisions/forwarding/observed_state/instance_directory.h"
#include "zinnia_decisions/forwarding/observed_state/member_loads.h"
#include "zinnia_decisions/forwarding/observed_state/relay_directory.h"
#include "zinnia_decisions/forwarding/observed_state/report_exchange.h"
#include "zinnia_decisions/forwarding/observed_state/store_mirror.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kDomains = 5;
constexpr int kMembers = 40;
constexpr Duration kDeliveryTime = milliseconds(2);

/** One instance of a fleet that is connected by the test's transport. */
struct TestInstance final : ReportTransport, ReportSink {
  using Callback = std::function<void(Result<MirrorDelta>)>;
  using Deliver = std::function<void(const NetworkAddress&, const InstanceReport&, Callback)>;

  TestInstance(VirtualTime& time, const Instance& self)
      : store(time),
        mirror(store, time, time, logger, {}),
        instances(time, self),
        exchange(*this, time, time, instances, mirror, *this, logger, {}, {}) {}

  void Exchange(const NetworkAddress& peer,
                const InstanceReport& report,
                Callback callback) override {
    if (!is_alive) {
      return;
    }
    ++sent;
    deliver(peer, report, std::move(callback));
  }
  void OnDomainUses(const FailureDomainName& domain, LoadTracker::Uses reported) override {
    uses[domain] = std::move(reported);
  }
  void OnPeerStalls(const std::vector<StallReport>& from_peer) override {
    for (const StallReport& stall : from_peer) {
      stalls.push_back(stall.server);
    }
  }
  void OnPeerServerState(const ServerStateReport&) override {}
  void OnPeerServerLimits(const std::vector<ServerLimitReport>& from_peer) override {
    const bool is_new = limits.empty();
    limits = from_peer;
    if (is_new) {
      exchange.SendServerLimits(from_peer, false);
    }
  }
  void OnPeerSlowdowns(const std::vector<SlowdownReport>&) override {}
  void OnPeerCleared(const std::vector<ClearedRequest>& from_peer) override {
    times_cleared += static_cast<int>(from_peer.size());
  }
  void OnPeerAnswerLengths(const std::vector<AnswerLengthRow>& rows) override {
    for (const AnswerLengthRow& row : rows) {
      answer_lengths[row.cell] = row.counts;
    }
  }
  std::map<AnswerLengthCellId, AnswerLengthCounts> answer_lengths;
  int times_cleared = 0;
  void OnPeerCrashes(const std::vector<CrashReport>& from_peer) override {
    crashes.insert(crashes.end(), from_peer.begin(), from_peer.end());
  }
  void OnPeerQuarantines(const std::vector<QuarantineReport>& from_peer) override {
    quarantines = from_peer;
    exchange.SetQuarantines(from_peer);
  }
  std::vector<CrashReport> crashes;
  std::vector<QuarantineReport> quarantines;
  std::vector<ServerLimitReport> limits;

  FakeStore store;
  RecordingLogger logger;
  StoreMirror mirror;
  InstanceDirectory instances;
  ReportExchange exchange;
  Deliver deliver;
  std::map<FailureDomainName, LoadTracker::Uses> uses;
  std::vector<std::string> stalls;
  /** The last known number of requests of a domain's instances at the server "s". */
  std::uint32_t RequestsInFlight(const FailureDomainName& domain) const {
    const auto reported = uses.find(domain);
    if (reported == uses.end() || !reported->second.contains("s")) {
      return 0;
    }
    return reported->second.at("s").requests;
  }

  int sent = 0;
  int received = 0;
  bool is_alive = true;
};

Instance MakeInstance(int domain, int member) {
  Instance instance;
  instance.name = "d" + std::to_string(domain) + "-" + std::to_string(member);
  instance.peer_address = {"10.0.0.1", static_cast<std::uint16_t>(domain * 100 + member + 1)};
  instance.failure_domain = "d" + std::to_string(domain);
  instance.cores = member >= 37 ? 0.5 : 0.12;
  instance.link_mbps = member >= 37 ? 200 : 20;
  return instance;
}

}  // namespace

/** Two hundred instances in five failure domains, of which three in each are larger. */
TEST_GROUP(Relays) {
  VirtualTime time;
  std::map<NetworkAddress, std::unique_ptr<TestInstance>> fleet;
  std::vector<std::unique_ptr<ScheduledCall>> calls;

  void setup() override {
    for (int domain = 0; domain < kDomains; ++domain) {
      for (int member = 0; member < kMembers; ++member) {
        const Instance self = MakeInstance(domain, member);
        auto instance = std::make_unique<TestInstance>(time, self);
        instance->deliver = [this](const NetworkAddress& to, const InstanceReport& report,
                                   const TestInstance::Callback& callback) {
          Deliver(to, report, callback);
        };
        fleet[self.peer_address] = std::move(instance);
      }
    }
    for (auto& [address, instance] : fleet) {
      for (const auto& [other_address, other] : fleet) {
        instance->instances.OnRecord(other->instances.Self());
      }
      instance->mirror.Merge({true, {0, 5}, {{"k", {0, 5}, "v"}}});
      instance->exchange.Start();
    }
    time.AdvanceBy(milliseconds(10));
    Advance(seconds(2));
  }

  void Deliver(const NetworkAddress& to, const InstanceReport& report,
               const TestInstance::Callback& callback) {
    calls.push_back(time.ScheduleAfter(kDeliveryTime, [this, to, report, callback] {
      TestInstance& peer = *fleet.at(to);
      if (!peer.is_alive) {
        callback(MakeError(ErrorKind::kPeerUnavailable, "dead"));
        return;
      }
      ++peer.received;
      const MirrorDelta answer = peer.exchange.OnReport(report);
      calls.push_back(time.ScheduleAfter(kDeliveryTime, [callback, answer] { callback(answer); }));
    }));
  }

  /** Advances the time; the store responds to all watches. */
  void Advance(Duration duration) {
    for (Duration passed{}; passed < duration; passed += milliseconds(50)) {
      for (auto& [address, instance] : fleet) {
        const bool is_watching = instance->is_alive && instance->exchange.ShouldWatchStore();
        instance->mirror.SetWatchRole(!is_watching ? StoreWatchRole::kNone
                                                   : (instance->exchange.IsAssignedStoreWatcher()
                                                          ? StoreWatchRole::kStoreWatcher
                                                          : StoreWatchRole::kSubstitute),
                                      instance->instances.Live().size());
        while (!instance->store.watches.empty()) {
          instance->store.AnswerWatch();
        }
      }
      time.AdvanceBy(milliseconds(50));
    }
  }

  TestInstance& At(int domain, int member) {
    return *fleet.at(MakeInstance(domain, member).peer_address);
  }

  template <typename Predicate>
  std::int64_t CountIf(Predicate predicate) {
    return std::count_if(fleet.begin(), fleet.end(),
                         [&](const auto& entry) { return predicate(*entry.second); });
  }
};

// Guards against a number of store watchers that grows with the number of domains or instances.
TEST(Relays, ThreeOfTheLargestInstancesWatchTheStore) {
  CHECK_EQUAL(3, CountIf([](TestInstance& one) { return one.exchange.ShouldWatchStore(); }));
  CHECK_EQUAL(3, CountIf([](TestInstance& one) {
                return one.exchange.ShouldWatchStore() && one.instances.Self().link_mbps == 200;
              }));
}

// Guards against every instance reporting to every other.
TEST(Relays, AMemberSendsAndReceivesFewReports) {
  for (auto& [address, instance] : fleet) {
    instance->sent = 0;
    instance->received = 0;
  }
  Advance(seconds(4));
  CHECK_TRUE(At(0, 0).sent + At(0, 0).received <= 4 * 12);
  CHECK_TRUE(At(0, 37).sent + At(0, 37).received <= 4 * 300);
}

// Guards against relays that forward single reports in place of the sum, or include a member's own
// requests in its sum.
TEST(Relays, EachMemberReceivesTheSumOverTheOthersOfItsDomain) {
  for (int member = 0; member < kMembers; ++member) {
    At(2, member).exchange.SetUses({{"s", {1, 10.0, 1}}});
  }
  Advance(milliseconds(1'300));
  CHECK_EQUAL(39U, At(2, 0).RequestsInFlight("d2"));
  CHECK_EQUAL(39U, At(2, 37).RequestsInFlight("d2"));
  Advance(seconds(1));
  CHECK_EQUAL(40U, At(4, 11).RequestsInFlight("d2"));
}

// Guards against relays that do not forward a stall, so that other domains detect a lost server
// only by their own timeouts.
// Guards against instances that learn too late which request was in flight at a crash, or count it
// twice as reports arrive over several ways.
TEST(Relays, ACrashReachesEveryInstanceOnceWithinSomeMilliseconds) {
  const CrashReport crash{{1, 2},           "lost",           CrashOnset::kBegun,
                          milliseconds(90), milliseconds(40), {}};
  At(1, 3).exchange.SendCrashes({crash});
  Advance(milliseconds(20));
  for (const auto& [address, instance] : fleet) {
    if (instance.get() != &At(1, 3)) {
      CHECK_EQUAL(1U, instance->crashes.size());
      CHECK_TRUE(instance->crashes.front().request == crash.request);
    }
  }
  Advance(seconds(3));
  for (const auto& [address, instance] : fleet) {
    CHECK_TRUE(instance->crashes.size() <= 1);
  }
}

// Guards against instances that tell each other of a cleared request for ever.
TEST(Relays, AClearedRequestReachesEveryInstanceOnceThoughSomeHearLate) {
  At(1, 3).exchange.SendCleared({{{1, 2}, milliseconds(0)}});
  At(2, 7).is_alive = false;  // It hears late, and tells the others when they have forgotten.
  Advance(milliseconds(500));
  CHECK_EQUAL(198, CountIf([](TestInstance& one) { return one.times_cleared == 1; }));
  At(2, 7).is_alive = true;
  Advance(seconds(5));
  CHECK_EQUAL(0, CountIf([](TestInstance& one) { return one.times_cleared > 1; }));
}

// Guards against an instance that starts without the fleet's knowledge of harmful requests.
TEST(Relays, AQuarantineReachesAnInstanceThatWasAway) {
  At(2, 5).exchange.SetQuarantines({{{1, 2}, seconds(50), seconds(60)}});
  Advance(seconds(2));
  CHECK_EQUAL(200, CountIf([](TestInstance& one) { return one.quarantines.size() == 1; }));
}

TEST(Relays, AStallReachesEveryInstanceWithinSomeMilliseconds) {
  At(1, 3).exchange.SendStall("lost");
  time.AdvanceBy(milliseconds(8));
  CHECK_EQUAL(199, CountIf([](TestInstance& one) { return one.stalls.size() == 1; }));
}

// Guards against an overloaded server that keeps receiving requests from instances that do not know
// its limit yet.
TEST(Relays, AServersLimitReachesEveryInstanceWithinSomeMilliseconds) {
  At(1, 3).exchange.SendServerLimits({{"s", 12.0, milliseconds(0)}}, true);
  time.AdvanceBy(milliseconds(20));
  // The relays report it back to the sender too.
  CHECK_EQUAL(200, CountIf([](TestInstance& one) { return one.limits.size() == 1; }));
}

// Guards against a change that waits for the next regular report of each relay.
TEST(Relays, AChangeSeenByAStoreWatcherReachesEveryInstanceAtOnce) {
  for (auto& [address, instance] : fleet) {
    if (instance->exchange.ShouldWatchStore()) {
      instance->mirror.Merge({false, {0, 9}, {{"k", {0, 9}, "new"}}});
      instance->exchange.SendRevision();
      break;
    }
  }
  for (int step = 0; step < 40; ++step) {
    time.AdvanceBy(milliseconds(1));
    for (auto& [address, instance] : fleet) {
      instance->exchange.SendRevision();
    }
  }
  CHECK_EQUAL(200, CountIf([](TestInstance& one) { return one.mirror.Revision().number == 9; }));
}

// Guards against a domain without reports until the records of its failed relays lapse.
TEST(Relays, RelaysThatFallSilentAreReplacedWithinTwoSeconds) {
  At(3, 37).is_alive = false;
  At(3, 38).is_alive = false;
  At(3, 0).exchange.SetUses({{"s", {5, 10.0, 5}}});
  Advance(seconds(4));
  CHECK_EQUAL(5U, At(3, 1).RequestsInFlight("d3"));
  CHECK_FALSE(At(3, 1).exchange.ShouldWatchStore());
}

// Guards against a fleet without a store watcher after all three were lost at once.
TEST(Relays, WhenAllStoreWatchersAreLostOthersTakeOver) {
  for (auto& [address, instance] : fleet) {
    instance->is_alive = !instance->exchange.ShouldWatchStore();
  }
  Advance(seconds(4));
  const auto watchers =
      CountIf([](TestInstance& one) { return one.is_alive && one.exchange.ShouldWatchStore(); });
  CHECK_TRUE(watchers >= 3);
  CHECK_TRUE(watchers <= 5);
}

// Guards against estimates of one instance alone, against counts that come back to their sender,
// and against those of a fresh instance that come late.
TEST(Relays, LengthsOfAnswersOfAllOthersReachEachInstance) {
  AnswerLengthRow row;
  row.cell = (std::uint64_t{1} << 62) | 5;
  row.counts.AddEnded(10, 1.0);
  for (auto& [address, instance] : fleet) {
    instance->exchange.SetAnswerLengths({row});
  }
  Advance(seconds(3));
  for (auto& [address, instance] : fleet) {
    DOUBLES_EQUAL(199.0, instance->answer_lengths[row.cell].EndedInAll(), 3.0);
    instance->answer_lengths.clear();
  }
  Advance(seconds(1));
  CHECK_EQUAL(200, CountIf([](TestInstance& one) { return !one.answer_lengths.empty(); }));
}

TEST(Relays, ASumWithoutAMemberLeavesTheOthersRequests) {
  MemberLoads loads(time);
  loads.Set("a", {{"s", {2, 20.0, 1}}, {"only", {1, 5.0, 1}}});
  loads.Set("b", {{"s", {3, 30.0, 0}}});
  const LoadTracker::Uses sum = loads.Sum({{"s", {1, 10.0, 1}}});
  CHECK_EQUAL(6U, sum.at("s").requests);
  const LoadTracker::Uses others = loads.SumWithout("a", sum);
  CHECK_EQUAL(4U, others.at("s").requests);
  DOUBLES_EQUAL(40.0, others.at("s").token_layers, 1e-9);
  CHECK_FALSE(others.contains("only"));
  time.AdvanceBy(seconds(4));
  CHECK_EQUAL(1U, loads.Sum({{"s", {1, 10.0, 1}}}).at("s").requests);
}

}  // namespace zinnia
