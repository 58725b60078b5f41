#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/forwarding/forwarding_fakes.h"
#include "zinnia_base/random/random_source.h"
#include "zinnia_decisions/forwarding/observed_state/store_mirror.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

namespace {

/** The store's records with their whole history, from which answers to lists and watches are made.
 */
class HistoryStore {
 public:
  void Put(const std::string& key) { Change(key, std::to_string(m_writes)); }
  void Erase(const std::string& key) {
    if (Has(key)) {
      Change(key, std::nullopt);
    }
  }
  void DropHistory() { m_oldest_watchable = m_history.size(); }

  /** The last changes are forgotten, and their revisions are given out again. */
  void ComeBackOlder(std::uint64_t changes) {
    m_history.resize(m_history.size() - std::min(changes, std::uint64_t{m_history.size()}));
    m_oldest_watchable = std::min(m_oldest_watchable, std::uint64_t{m_history.size()});
    ++m_era;
  }

  StoreRevision Revision() const { return {m_era, m_history.size()}; }

  /** The answer to a list that is up to date, or `behind` changes behind. */
  MirrorDelta List(std::uint64_t behind) const {
    const std::uint64_t number =
        m_history.size() - std::min(behind, std::uint64_t{m_history.size()});
    MirrorDelta delta{true, {m_era, number}, {}};
    for (const auto& [key, record] : StateAt(number)) {
      if (record.value) {
        delta.records.push_back(record);
      }
    }
    return delta;
  }

  /** The answer to a watch from `after`; a list if that history is lost. */
  MirrorDelta Watch(StoreRevision after) const {
    if (after.era != m_era || after.number < m_oldest_watchable) {
      return List(0);
    }
    MirrorDelta delta{false, Revision(), {}};
    for (const auto& [key, record] : StateAt(m_history.size())) {
      if (record.revision > after) {
        delta.records.push_back(record);
      }
    }
    return delta;
  }

  std::map<std::string, MirroredRecord> State() const { return StateAt(m_history.size()); }

 private:
  std::map<std::string, MirroredRecord> StateAt(std::uint64_t number) const {
    std::map<std::string, MirroredRecord> state;
    for (std::uint64_t index = 0; index < number; ++index) {
      state[m_history[index].first] = {
          m_history[index].first, {m_era, index + 1}, m_history[index].second};
    }
    return state;
  }
  bool Has(const std::string& key) const {
    const auto state = State();
    const auto found = state.find(key);
    return found != state.end() && found->second.value;
  }
  void Change(const std::string& key, std::optional<std::string> value) {
    ++m_writes;
    m_history.emplace_back(key, std::move(value));
  }

  std::vector<std::pair<std::string, std::optional<std::string>>> m_history;
  std::uint64_t m_oldest_watchable = 0;
  std::uint64_t m_writes = 0;
  StoreEra m_era = 1;
};

/** Mirrors that are filled by lists, watches and each other, and lose all they know when killed. */
class MirrorSchedule {
 public:
  MirrorSchedule(std::uint64_t seed, bool store_comes_back_older)
      : m_random(seed), m_store_comes_back_older(store_comes_back_older) {
    m_mirrors.resize(kMirrors);
    m_recorded.resize(kMirrors);
    for (std::size_t mirror = 0; mirror < kMirrors; ++mirror) {
      Restart(mirror);
    }
  }

  void DisturbAtRandom(int steps) {
    for (int step = 0; step < steps; ++step) {
      Step();
    }
  }

  /** One mirror watches the store, and all others fetch from each other what they lack. */
  void Settle() {
    StoreMirror& watcher = *m_mirrors[RandomBelow(m_random, kMirrors)];
    WatchStore(watcher);
    for (bool is_settled = false; !is_settled;) {
      is_settled = true;
      for (auto& mirror : m_mirrors) {
        if (!mirror->IsFilled() || mirror->Revision() < m_store.Revision()) {
          is_settled = false;
          Fetch(*mirror, *m_mirrors[RandomBelow(m_random, kMirrors)]);
        }
      }
    }
  }

  /** The number of keys on which a mirror and the store disagree. */
  int CountDifferences() const {
    const auto state = m_store.State();
    int differences = 0;
    for (std::size_t mirror = 0; mirror < m_mirrors.size(); ++mirror) {
      for (const char* key : kKeys) {
        const auto found = state.find(key);
        const std::optional<std::string> stored =
            found == state.end() ? std::nullopt : found->second.value;
        const bool is_there = m_mirrors[mirror]->Has(key);
        const bool is_same = is_there == stored.has_value() &&
                             (!is_there || m_recorded[mirror]->values[key] == stored);
        differences += is_same ? 0 : 1;
      }
    }
    return differences;
  }

 private:
  static constexpr std::size_t kMirrors = 5;
  static constexpr std::array kKeys = {"a", "b", "c", "d"};
  static constexpr std::uint64_t kMostBehind = 4;
  static constexpr std::uint64_t kMostForgotten = 6;

  void Restart(std::size_t mirror) {
    m_recorded[mirror] = std::make_unique<RecordingMirrorListener>();
    m_mirrors[mirror] = std::make_unique<StoreMirror>(m_unused_store, m_time, m_time, m_logger,
                                                      StoreMirrorSettings());
    m_mirrors[mirror]->SetListener(m_recorded[mirror].get());
  }

  void Step() {
    const std::string key = kKeys.at(RandomBelow(m_random, kKeys.size()));
    const std::size_t number = RandomBelow(m_random, kMirrors);
    auto& mirror = m_mirrors[number];
    switch (RandomBelow(m_random, m_store_comes_back_older ? 9 : 8)) {
      case 0:
      case 1:
        m_store.Put(key);
        return;
      case 2:
        m_store.Erase(key);
        return;
      case 3:
        WatchStore(*mirror);
        return;
      case 4:
        Restart(number);
        return;
      case 5:
        m_store.DropHistory();
        return;
      case 8:
        m_store.ComeBackOlder(1 + RandomBelow(m_random, kMostForgotten));
        return;
      default:
        Fetch(*mirror, *m_mirrors[RandomBelow(m_random, kMirrors)]);
        return;
    }
  }

  void WatchStore(StoreMirror& mirror) {
    if (mirror.IsFilled()) {
      mirror.Merge(m_store.Watch(mirror.Revision()));
    } else {
      mirror.Merge(m_store.List(RandomBelow(m_random, kMostBehind)));
      mirror.Merge(m_store.Watch(mirror.Revision()));
    }
  }

  static void Fetch(StoreMirror& to, const StoreMirror& from) {
    const StoreRevision known = to.IsFilled() ? to.Revision() : StoreRevision();
    if (from.IsFilled() && (known < from.Revision() || !to.IsFilled())) {
      to.Merge(from.ChangesAfter(known));
    }
  }

  RandomSource m_random;
  const bool m_store_comes_back_older;
  VirtualTime m_time;
  RecordingLogger m_logger;
  FakeStore m_unused_store{m_time};
  HistoryStore m_store;
  std::vector<std::unique_ptr<RecordingMirrorListener>> m_recorded;
  std::vector<std::unique_ptr<StoreMirror>> m_mirrors;
};

constexpr std::uint64_t kSchedules = 10'000;
constexpr int kSteps = 60;

}  // namespace

TEST_GROUP(MirrorConvergence){};

// Guards against a removal that is lost to an instance that lags behind when a fresh one serves it.
TEST(MirrorConvergence, AFreshMirrorDoesNotHideRemovalsFromBeforeItsFirstList) {
  VirtualTime time;
  RecordingLogger logger;
  FakeStore unused{time};
  HistoryStore store;
  store.Put("a");
  store.Put("b");
  StoreMirror lagging{unused, time, time, logger, {}};
  lagging.Merge(store.List(0));
  store.Erase("a");
  store.Put("b");
  StoreMirror fresh{unused, time, time, logger, {}};
  fresh.Merge(store.List(0));
  lagging.Merge(fresh.ChangesAfter(lagging.Revision()));
  CHECK_TRUE(store.Revision() == lagging.Revision());
  CHECK_FALSE(lagging.Has("a"));
  CHECK_TRUE(lagging.Has("b"));
}

// Guards against mirrors that differ from the store for good after any order of lists, watches,
// merges, starts and lost history.
TEST(MirrorConvergence, AllMirrorsHoldTheStoresRecordsAfterTheLastDisturbance) {
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    MirrorSchedule schedule(seed, false);
    schedule.DisturbAtRandom(kSteps);
    schedule.Settle();
    CHECK_EQUAL(0, schedule.CountDifferences());
  }
}

// Guards against records of a copy that the store no longer serves, or values under revisions that
// were given out twice.
TEST(MirrorConvergence, AllMirrorsHoldTheRecordsOfAStoreThatCameBackOlder) {
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    MirrorSchedule schedule(seed, true);
    schedule.DisturbAtRandom(kSteps);
    schedule.Settle();
    CHECK_EQUAL(0, schedule.CountDifferences());
  }
}

}  // namespace zinnia
