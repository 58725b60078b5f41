#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/once/fake_store.h"
#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_decisions/membership/membership_view.h"
#include "zinnia_decisions/orders/engine_reconciler.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** An engine that accepts load orders. With `checks`, it refuses orders of an older epoch. */
struct FakeEngine {
  EngineState state;
  bool checks = true;
  std::vector<std::uint64_t> epochs;
  std::vector<TimePoint> taken_at;
};

/** The engines and the orders in flight to them, shared by all instances. */
struct FakePool {
  VirtualTime time;
  FakeStore store{time, 3};
  CallScheduler call_scheduler{time};
  std::map<BackendServerName, FakeEngine> engines;
  Duration load_time = seconds(4);
  Duration order_delay = milliseconds(1);
  std::size_t loading = 0;
  std::size_t most_loading = 0;
  std::vector<BackendServerName> sequence;

  Result<void> Take(const BackendServerName& name, const LoadOrder& order) {
    FakeEngine& engine = engines[name];
    if (engine.checks && order.epoch < engine.state.highest_epoch) {
      return MakeError(ErrorKind::kStaleEpoch, "lower epoch");
    }
    engine.state.highest_epoch = std::max(engine.state.highest_epoch, order.epoch);
    engine.epochs.push_back(order.epoch);
    engine.taken_at.push_back(time.Now());
    sequence.push_back(name);
    engine.state.loading = order.target;
    engine.state.loaded.reset();
    most_loading = std::max(most_loading, ++loading);
    call_scheduler.Post(load_time, [this, name, target = order.target] {
      engines[name].state.loaded = target;
      engines[name].state.loading.reset();
      loading -= 1;
    });
    return {};
  }
};

/** One instance's reconciler with its dependencies. */
class FakeOrderInstance final : public EngineOrders,
                                public SnapshotSource,
                                public MembershipView,
                                public DecisionRecorder {
 public:
  FakeOrderInstance(FakePool& pool, std::string name) : m_pool(pool), m_self{std::move(name)} {}

  void Start(std::shared_ptr<const FleetSnapshot> fleet) {
    m_fleet = std::move(fleet);
    const OrderRoleParts parts{m_pool.time, m_thread, m_store, *this, *this};
    m_reconciler = std::move(EngineReconciler::Create(parts, *this, *this, {}, "pool").value());
    m_reconciler->Start();
  }

  void Order(const BackendServerName& server,
             LoadOrder order,
             std::function<void(Result<void>)> callback) override {
    m_pool.call_scheduler.Post(m_pool.order_delay, [this, server, order, callback] {
      const Result<void> result = m_pool.Take(server, order);
      m_thread.Run([callback, result] { callback(result); });
    });
  }
  void ReadState(const BackendServerName& server,
                 std::function<void(Result<EngineState>)> callback) override {
    m_pool.call_scheduler.Post(milliseconds(2), [this, server, callback] {
      EngineState state = m_pool.engines[server].state;
      state.checks_fencing = m_pool.engines[server].checks;
      m_thread.Run([callback, state] { callback(state); });
    });
  }
  std::shared_ptr<const FleetSnapshot> Current() const override { return m_fleet; }
  const Instance& Self() const override { return m_self; }
  std::vector<Instance> LiveInstances() const override { return {m_self}; }
  void AddListener(MembershipListener&) override {}
  void RemoveListener(MembershipListener&) override {}
  void Record(DecisionRecord record) override { decisions.push_back(record.decision); }

  void Use(std::shared_ptr<const FleetSnapshot> fleet) { m_fleet = std::move(fleet); }
  FakeThread& thread() { return m_thread; }
  bool HoldsRole() const { return m_reconciler->HoldsRole(); }
  std::vector<std::string> decisions;

 private:
  FakePool& m_pool;
  Instance m_self;
  FakeThread m_thread{m_pool.time};
  FakeStoreClient m_store{m_pool.store, m_thread};
  std::shared_ptr<const FleetSnapshot> m_fleet;
  std::unique_ptr<EngineReconciler> m_reconciler;
};

std::string ServerJson(const std::string& version, int first, int end) {
  return R"({"desired_model":"m","desired_version":")" + version + R"(","desired_first_layer":)" +
         std::to_string(first) + R"(,"desired_end_layer":)" + std::to_string(end) + "}";
}

TEST_GROUP(Orders) {
  FakePool pool;
  FakeOrderInstance first{pool, "i1"};
  FakeOrderInstance second{pool, "i2"};
  std::map<std::string, ConfigurationEntry> entries;

  void setup() override {
    entries["model/m"] = {"model/m", 1, R"({"version":"v1","layers":4})"};
  }

  void Want(const std::string& server, const std::string& version, int first_layer, int end) {
    entries["server/" + server] = {"server/" + server, 1, ServerJson(version, first_layer, end)};
    pool.engines[server];
  }

  std::shared_ptr<const FleetSnapshot> Fleet() {
    auto fleet = std::make_shared<FleetSnapshot>();
    for (const auto& [name, engine] : pool.engines) {
      fleet->servers[name].server.name = name;
      fleet->servers[name].server.pool = "pool";
      fleet->servers[name].server.checks_fencing = engine.checks;
    }
    fleet->configuration =
        std::make_shared<const Configuration>(Configuration::Parse(1, entries).value());
    return fleet;
  }

  void StartBoth() {
    first.Start(Fleet());
    pool.time.AdvanceBy(milliseconds(100));
    second.Start(Fleet());
  }
};

TEST(Orders, EnginesLoadTheConfiguredLayers) {
  Want("a", "v1", 0, 2);
  Want("b", "v1", 2, 4);
  StartBoth();
  pool.time.AdvanceBy(seconds(20));
  CHECK(first.HoldsRole() != second.HoldsRole());
  for (const auto& [name, engine] : pool.engines) {
    STRCMP_EQUAL("v1", engine.state.loaded->version.c_str());
    LONGS_EQUAL(1, engine.epochs.size());
  }
}

// The weight store is rate limited, so the number of concurrent loads is limited, and those that
// complete a pipeline come first.
TEST(Orders, LoadsAreFewAndThoseThatCompleteAPipelineComeFirst) {
  for (const char* spare : {"c", "d", "e", "f", "g", "h", "i"}) {
    Want(spare, "v1", 0, 2);
  }
  Want("z", "v1", 2, 4);
  pool.engines["c"].state.loaded = LoadedRange{"m", "v1", {0, 2}};
  first.Start(Fleet());
  pool.time.AdvanceBy(seconds(40));
  STRCMP_EQUAL("z", pool.sequence.front().c_str());
  LONGS_EQUAL(7, pool.sequence.size());
  CHECK(pool.most_loading <= OrderSettings{}.most_loads);
}

// During an upgrade, each stage's last ready replica must stay until another one is ready.
TEST(Orders, AnUpgradeKeepsACompletePipelineAllTheTime) {
  for (const auto& [name, begin] :
       std::map<std::string, int>{{"a1", 0}, {"a2", 0}, {"b1", 2}, {"b2", 2}}) {
    Want(name, "v2", begin, begin + 2);
    const auto from = static_cast<std::uint32_t>(begin);
    pool.engines[name].state.loaded = LoadedRange{"m", "v1", {from, from + 2}};
  }
  first.Start(Fleet());
  for (int i = 0; i < 600; ++i) {
    if (i == 300) {  // The last servers of v1 are upgraded only after the model's version is v2.
      entries["model/m"].value = R"({"version":"v2","layers":4})";
      first.Use(Fleet());
    }
    pool.time.AdvanceBy(milliseconds(100));
    bool complete = false;
    for (const char* version : {"v1", "v2"}) {
      std::set<std::uint32_t> begins;
      for (const auto& [name, engine] : pool.engines) {
        if (engine.state.loaded && engine.state.loaded->version == version) {
          begins.insert(engine.state.loaded->layers.first);
        }
      }
      complete = complete || begins.size() == 2;
    }
    CHECK(complete);
  }
  for (const auto& [name, engine] : pool.engines) {
    STRCMP_EQUAL("v2", engine.state.loaded->version.c_str());
  }
}

// A holder that is paused until its lease has expired must not replace the new holder's order when
// it resumes.
TEST(Orders, AResumedHolderIsRefusedByCheckingEnginesAndSendsNothingToOthers) {
  for (const bool checks : {true, false}) {
    const std::string name = checks ? "checking" : "trusting";
    Want(name, "v1", 0, 4);
    pool.engines[name].checks = checks;
  }
  StartBoth();
  pool.time.AdvanceBy(seconds(20));
  FakeOrderInstance& old_holder = first.HoldsRole() ? first : second;
  FakeOrderInstance& new_holder = first.HoldsRole() ? second : first;
  entries.erase("model/m");  // Allows the engines to load in place.
  Want("checking", "v2", 0, 4);
  Want("trusting", "v2", 0, 4);
  old_holder.Use(Fleet());
  old_holder.thread().Pause();
  Want("checking", "v3", 0, 4);
  Want("trusting", "v3", 0, 4);
  new_holder.Use(Fleet());
  pool.time.AdvanceBy(seconds(60));
  CHECK(new_holder.HoldsRole());
  old_holder.thread().Wake();
  pool.time.AdvanceBy(seconds(60));
  for (const auto& [server, engine] : pool.engines) {
    STRCMP_EQUAL("v3", engine.state.loaded->version.c_str());
    LONGS_EQUAL(2, engine.epochs.size());
    CHECK(engine.epochs[0] < engine.epochs[1]);
  }
}

// A new holder must wait until no order of the old holder can still arrive at an engine that does
// not check epochs.
TEST(Orders, ANewHolderWaitsOutOrdersInFlightToEnginesThatDoNotCheck) {
  Want("trusting", "v1", 0, 4);
  pool.engines["trusting"].checks = false;
  entries.erase("model/m");
  pool.order_delay = milliseconds(4'900);
  first.Start(Fleet());
  pool.time.AdvanceBy(milliseconds(2'500));
  CHECK(first.HoldsRole());
  first.thread().Kill();
  pool.store.leases.clear();
  pool.order_delay = milliseconds(1);
  Want("trusting", "v2", 0, 4);
  pool.engines["trusting"].checks = false;
  second.Start(Fleet());
  pool.time.AdvanceBy(seconds(60));
  const FakeEngine& engine = pool.engines["trusting"];
  LONGS_EQUAL(2, engine.epochs.size());
  CHECK(engine.epochs[0] < engine.epochs[1]);
  STRCMP_EQUAL("v2", engine.state.loaded->version.c_str());
}

// After the store was restored from a backup, engines may have seen a higher epoch. The refused
// holder must release its role and acquire it again with a higher epoch.
TEST(Orders, ARefusedHolderReacquiresItsRoleWithAHigherEpoch) {
  Want("a", "v1", 0, 4);
  pool.engines["a"].state.highest_epoch = 40;
  first.Start(Fleet());
  pool.time.AdvanceBy(seconds(60));
  CHECK(pool.engines["a"].state.loaded.has_value());
  LONGS_EQUAL(41, pool.engines["a"].epochs.back());
}

// Guards against a pool without orders for good, since another writer left an odd epoch.
TEST(Orders, AnEpochThatCannotBeReadIsNotBelieved) {
  const std::string deep(100'000, '[');
  const std::vector<std::string> values = {R"({"epoch":-1})",
                                           R"({"epoch":0.5})",
                                           R"({"epoch":1e30})",
                                           R"({"epoch":1e999})",
                                           R"({"epoch":1e99999999999})",
                                           R"({"epoch":18446744073709551615})",
                                           R"({"epoch":36893488147419103232})",
                                           R"({"epoch":"7"})",
                                           R"({"epoch":)" + deep,
                                           "7",
                                           "",
                                           "\xff"};
  for (const std::string& value : values) {
    FakePool odd_pool;
    FakeOrderInstance holder{odd_pool, "i1"};
    odd_pool.store.records["orders/epoch/pool"] = {"orders/epoch/pool", 1, value};
    odd_pool.store.version = 1;
    entries["server/a"] = {"server/a", 1, ServerJson("v1", 0, 4)};
    odd_pool.engines["a"];
    pool.engines["a"];
    holder.Start(Fleet());
    odd_pool.time.AdvanceBy(seconds(60));
    CHECK_TRUE_TEXT(odd_pool.engines["a"].state.loaded.has_value(), value.substr(0, 40).c_str());
    CHECK_TRUE(odd_pool.engines["a"].epochs.back() > 0);
  }
}

}  // namespace
}  // namespace zinnia
