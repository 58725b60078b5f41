#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tests/once/fake_instance.h"
#include "zinnia_base/random/random_source.h"
#include "zinnia_decisions/ports/platform_store.h"

namespace zinnia {

/** The delays and faults that the fake store injects. Probabilities apply to each call. */
struct StoreFaults {
  Duration one_way = std::chrono::microseconds(1'500);
  bool outage = false;
  /** The reply is lost. The write takes effect at once, up to `longest_late` later, or never. */
  double lose_answer = 0.0;
  double effect_late = 0.3;
  double effect_never = 0.3;
  Duration longest_late = std::chrono::seconds(3);
};

/** The records of the fake store, shared by the clients of all instances. */
struct FakeStore {
  FakeStore(VirtualTime& time, std::uint64_t seed)
      : time(time), call_scheduler(time), random(seed) {}

  VirtualTime& time;
  CallScheduler call_scheduler;
  RandomSource random;
  StoreFaults faults;
  std::map<std::string, StoreRecord> records;
  std::uint64_t version = 0;
  std::uint64_t next_lease = 1;
  std::map<StoreLeaseId, std::pair<TimePoint, Duration>> leases;
  std::map<std::string, StoreLeaseId> leased_keys;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t creations = 0;
  std::size_t writes_under_way = 0;
  std::size_t most_writes_under_way = 0;

  void EndLeases() {
    std::erase_if(leases, [this](const auto& lease) { return lease.second.first <= time.Now(); });
    for (auto it = leased_keys.begin(); it != leased_keys.end();) {
      if (!leases.contains(it->second)) {
        records.erase(it->first);
        it = leased_keys.erase(it);
      } else {
        ++it;
      }
    }
  }

  Result<std::uint64_t> Swap(const std::string& key,
                             std::uint64_t expected,
                             const std::optional<std::string>& value,
                             std::optional<StoreLeaseId> lease) {
    const auto found = records.find(key);
    const std::uint64_t actual = found == records.end() ? 0 : found->second.version;
    if (actual != expected || (lease && !leases.contains(*lease))) {
      return MakeError(ErrorKind::kStoreConflict, key);
    }
    version += 1;
    value ? void(records[key] = {key, version, value}) : void(records.erase(key));
    lease ? void(leased_keys[key] = *lease) : void(leased_keys.erase(key));
    return version;
  }
};

/** One instance's client of the fake store. */
class FakeStoreClient final : public PlatformStore {
 public:
  FakeStoreClient(FakeStore& store, FakeThread& thread) : m_store(store), m_thread(thread) {}

  void Get(std::string key, ReadCallback callback) override {
    Read<std::optional<StoreRecord>>(
        [this, key] {
          const auto found = m_store.records.find(key);
          return found == m_store.records.end() ? std::nullopt : std::optional(found->second);
        },
        std::move(callback));
  }

  void List(std::string prefix, BatchCallback callback) override {
    Read<StoreBatch>(
        [this, prefix] {
          StoreBatch batch{{}, m_store.version};
          for (auto it = m_store.records.lower_bound(prefix);
               it != m_store.records.end() && it->first.starts_with(prefix); ++it) {
            batch.records.push_back(it->second);
          }
          return batch;
        },
        std::move(callback));
  }

  void CompareAndSwap(std::string key,
                      std::uint64_t expected_version,
                      std::string value,
                      std::optional<StoreLeaseId> lease,
                      WriteCallback callback) override {
    m_store.creations += expected_version == 0 ? 1 : 0;
    Write<std::uint64_t>([this, key = std::move(key), expected_version, value = std::move(value),
                          lease] { return m_store.Swap(key, expected_version, value, lease); },
                         std::move(callback));
  }

  void Delete(std::string key, std::uint64_t expected_version, WriteCallback callback) override {
    Write<std::uint64_t>(
        [this, key, expected_version] {
          return m_store.Swap(key, expected_version, std::nullopt, std::nullopt);
        },
        std::move(callback));
  }

  void GrantLease(std::chrono::milliseconds time_to_live, LeaseCallback callback) override {
    Write<StoreLeaseId>(
        [this, time_to_live]() -> Result<StoreLeaseId> {
          m_store.leases[m_store.next_lease] = {m_store.time.Now() + time_to_live, time_to_live};
          return m_store.next_lease++;
        },
        std::move(callback));
  }

  void KeepLeaseAlive(StoreLeaseId lease, DoneCallback callback) override {
    Write<void>(
        [this, lease]() -> Result<void> {
          const auto found = m_store.leases.find(lease);
          if (found == m_store.leases.end()) {
            return MakeError(ErrorKind::kNotFound, "the lease ended");
          }
          found->second.first = m_store.time.Now() + found->second.second;
          return {};
        },
        std::move(callback));
  }

  void RevokeLease(StoreLeaseId lease, DoneCallback callback) override {
    Write<void>(
        [this, lease]() -> Result<void> {
          m_store.leases.erase(lease);
          m_store.EndLeases();
          return {};
        },
        std::move(callback));
  }

  void Watch(std::string, std::uint64_t, std::chrono::milliseconds, BatchCallback) override {}

 private:
  template <typename Value>
  using Answered = std::function<void(Result<Value>)>;

  template <typename Value>
  void Read(std::function<Value()> read, Answered<Value> callback) {
    m_store.reads += 1;
    m_store.call_scheduler.Post(m_store.faults.one_way, [this, read, callback] {
      m_store.EndLeases();
      const bool lost = RandomUnit(m_store.random) < m_store.faults.lose_answer;
      Answer<Value>(m_store.faults.outage ? Unavailable()
                    : lost                ? Lost()
                                          : Result<Value>(read()),
                    callback);
    });
  }

  template <typename Value>
  void Write(std::function<Result<Value>()> write, Answered<Value> callback) {
    m_store.writes += 1;
    m_store.writes_under_way += 1;
    m_store.most_writes_under_way =
        std::max(m_store.most_writes_under_way, m_store.writes_under_way);
    m_store.call_scheduler.Post(m_store.faults.one_way, [this, write, callback] {
      m_store.writes_under_way -= 1;
      m_store.EndLeases();
      if (m_store.faults.outage) {
        return Answer<Value>(Unavailable(), callback);
      }
      if (RandomUnit(m_store.random) >= m_store.faults.lose_answer) {
        return Answer<Value>(write(), callback);
      }
      const double fate = RandomUnit(m_store.random);
      if (fate < m_store.faults.effect_late) {
        const auto late = RandomBelow(m_store.random, m_store.faults.longest_late.count());
        m_store.call_scheduler.Post(Duration(late), [write] { write(); });
      } else if (fate >= m_store.faults.effect_late + m_store.faults.effect_never) {
        write();
      }
      Answer<Value>(Lost(), callback);
    });
  }

  template <typename Value>
  void Answer(const Result<Value>& result, const Answered<Value>& callback) {
    m_store.call_scheduler.Post(m_store.faults.one_way, [this, result, callback] {
      m_thread.Run([result, callback] { callback(result); });
    });
  }

  static Error Unavailable() { return MakeError(ErrorKind::kStoreUnavailable, "outage"); }
  static Error Lost() { return MakeError(ErrorKind::kStoreOutcomeUnknown, "answer lost"); }

  FakeStore& m_store;
  FakeThread& m_thread;
};

}  // namespace zinnia
