#include "tests/forwarding/older_copy_store.h"
#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_base/random/random_source.h"
#include "zinnia_decisions/forwarding/observed_state/instance_directory.h"
#include "zinnia_decisions/orders/order_role.h"

#include <algorithm>
#include <array>
#include <map>

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;

namespace {

/** Instances that seek one order role at a store that comes back from older copies. */
class RoleSchedule {
 public:
  explicit RoleSchedule(std::uint64_t seed) : m_random(seed) {
    for (std::size_t number = 0; number < m_candidates.size(); ++number) {
      Start(number);
    }
  }

  void Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      Disturb();
      for (auto& candidate : m_candidates) {
        candidate->role->Tick(0);
      }
      for (int part = 0; part < 10; ++part) {
        m_time.AdvanceBy(milliseconds(50));
        RecordHolders();
      }
    }
  }

  /** Processes that may send although they have heard of an era that began after they acquired the
     role, in which they could not have acquired it again. */
  int CountHoldersOfEarlierEras() const { return m_stale_holders; }

  /** Fencing numbers under which more than one process could send, and numbers below an earlier
      holder's. */
  int CountViolations() const { return m_violations; }
  std::size_t CountHolders() const { return m_process_of.size(); }

 private:
  struct Candidate final : DecisionRecorder, StoreEraListener {
    Candidate(OlderCopyStore& store, VirtualTime& time, std::size_t number)
        : client(store, time),
          instances(time, Instance{"n" + std::to_string(number), {}, "d", "r", 1}) {
      settings.lease = milliseconds(2'000);
      settings.lease_margin = milliseconds(500);
      settings.outage_grace = milliseconds(16'000);
      client.SetEraListener(this);
      role = std::make_unique<OrderRole>(OrderRoleParts{time, time, client, instances, *this},
                                         settings, "pool");
    }
    void Record(DecisionRecord) override {}
    void OnStoreEra(StoreEra heard) override {
      if (heard > era) {
        era = heard;
        role->OnStoreEraChanged(era);
      }
    }
    void OnUnreadableStoreEra(const std::string&) override {}

    OlderCopyStoreClient client;
    InstanceDirectory instances;
    OrderSettings settings;
    StoreEra era = 0;
    int process = 0;
    std::unique_ptr<OrderRole> role;
  };

  void Start(std::size_t number) {
    m_candidates.at(number) = std::make_unique<Candidate>(m_store, m_time, number);
    m_candidates.at(number)->process = ++m_last_process;
  }

  void Disturb() {
    switch (RandomBelow(m_random, 16)) {
      case 0:
        m_store.GoAway();
        m_time.AdvanceBy(milliseconds(100 + RandomBelow(m_random, 1'900)));
        m_store.ComeBackOlder(milliseconds(100 + RandomBelow(m_random, 10'000)));
        return;
      case 1:
      case 2:
        Start(RandomBelow(m_random, m_candidates.size()));
        return;
      default:
        return;
    }
  }

  void RecordHolders() {
    for (const auto& candidate : m_candidates) {
      if (!candidate->role->MaySend()) {
        continue;
      }
      const std::uint64_t number = candidate->role->Epoch();
      m_stale_holders += number / OrderRole::kEpochsPerEra < candidate->era ? 1 : 0;
      const auto [holder, is_new] = m_process_of.emplace(number, candidate->process);
      m_violations += holder->second != candidate->process ? 1 : 0;
      m_violations += is_new && number < m_highest ? 1 : 0;
      m_highest = std::max(m_highest, number);
    }
  }

  RandomSource m_random;
  VirtualTime m_time;
  OlderCopyStore m_store{m_time};
  std::array<std::unique_ptr<Candidate>, 3> m_candidates;
  std::map<std::uint64_t, int> m_process_of;
  int m_last_process = 0;
  std::uint64_t m_highest = 0;
  int m_violations = 0;
  int m_stale_holders = 0;
};

}  // namespace

TEST_GROUP(OlderCopyFencing){};

// Guards against two placers at one fencing number, and a placer that engines refuse for good,
// after the store forgot the numbers given out last.
TEST(OlderCopyFencing, NoFencingNumberIsGivenOutTwiceAndNoneFalls) {
  constexpr std::uint64_t kSchedules = 300;
  constexpr int kSteps = 120;
  std::size_t holders = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    RoleSchedule schedule(seed);
    schedule.Run(kSteps);
    CHECK_EQUAL(0, schedule.CountViolations());
    CHECK_EQUAL(0, schedule.CountHoldersOfEarlierEras());
    holders += schedule.CountHolders();
  }
  CHECK_TRUE(holders > 2 * kSchedules);
}

}  // namespace zinnia
