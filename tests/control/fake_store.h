#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <utility>

#include "tests/control/process_scheduler.h"
#include "zinnia_decisions/ports/platform_store.h"

namespace zinnia {

/** The state of the simulated platform store, with outages, lost responses and restores. */
struct FakeStore {
  struct Watch {
    std::string prefix;
    std::uint64_t after = 0;
    ProcessScheduler* scheduler = nullptr;
    std::weak_ptr<char> owner;
    PlatformStore::BatchCallback callback;
    TimePoint until{};
  };

  std::map<std::string, StoreRecord> records;
  std::uint64_t version = 0;
  bool outage = false;
  int responses_to_lose = 0;
  Duration delay = std::chrono::milliseconds(2);
  std::list<Watch> watches;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watch_calls = 0;
  std::uint64_t largest_value = 0;

  using State = std::pair<std::map<std::string, StoreRecord>, std::uint64_t>;
  State Save() const { return {records, version}; }
  void Restore(State state) { std::tie(records, version) = std::move(state); }

  StoreBatch ChangedUnder(const std::string& prefix, std::uint64_t after) const {
    StoreBatch batch{{}, version};
    for (auto row = records.lower_bound(prefix);
         row != records.end() && row->first.starts_with(prefix); ++row) {
      if (row->second.version > after) {
        batch.records.push_back(row->second);
      }
    }
    return batch;
  }

  void NotifyWatches() {
    for (auto watch = watches.begin(); watch != watches.end();) {
      StoreBatch batch = ChangedUnder(watch->prefix, watch->after);
      if (batch.records.empty() && !watch->owner.expired()) {
        ++watch;
        continue;
      }
      if (!watch->owner.expired()) {
        watch->scheduler->Post(delay, [callback = std::move(watch->callback),
                                       batch = std::move(batch)] { callback(batch); });
      }
      watch = watches.erase(watch);
    }
  }
};

/** One instance's client of FakeStore. */
class FakeStoreClient final : public PlatformStore {
 public:
  FakeStoreClient(FakeStore& store, VirtualTime& time, ProcessScheduler& scheduler)
      : m_store(store), m_time(time), m_scheduler(scheduler) {}

  bool cut = false;

  void Get(std::string key, ReadCallback callback) override {
    ++m_store.reads;
    Answer<std::optional<StoreRecord>>(std::move(callback), [this, key] {
      const auto found = m_store.records.find(key);
      return found == m_store.records.end() || !found->second.value ? std::nullopt
                                                                    : std::optional(found->second);
    });
  }

  void List(std::string prefix, BatchCallback callback) override {
    ++m_store.reads;
    Answer<StoreBatch>(std::move(callback),
                       [this, prefix] { return m_store.ChangedUnder(prefix, 0); });
  }

  void CompareAndSwap(std::string key,
                      std::uint64_t expected,
                      std::string value,
                      std::optional<StoreLeaseId>,
                      WriteCallback callback) override {
    Write(key, expected, value, std::move(callback));
  }

  void Delete(std::string key, std::uint64_t expected, WriteCallback callback) override {
    Write(key, expected, std::nullopt, std::move(callback));
  }

  void Watch(std::string prefix,
             std::uint64_t after,
             std::chrono::milliseconds longest_wait,
             BatchCallback callback) override {
    ++m_store.watch_calls;
    if (Down()) {
      Answer<StoreBatch>(std::move(callback), [] { return StoreBatch{}; });
      return;
    }
    StoreBatch now = m_store.ChangedUnder(prefix, after);
    if (!now.records.empty()) {
      Answer<StoreBatch>(std::move(callback), [now] { return now; });
      return;
    }
    m_store.watches.push_back(
        {prefix, after, &m_scheduler, m_owner, std::move(callback), m_time.Now() + longest_wait});
    const auto watch = std::prev(m_store.watches.end());
    const auto id = ++m_next_watch;
    m_waiting[id] = &*watch;
    m_scheduler.Post(longest_wait, [this, id] { EndWatch(id); });
  }

  void GrantLease(std::chrono::milliseconds, LeaseCallback) override {}
  void KeepLeaseAlive(StoreLeaseId, DoneCallback) override {}
  void RevokeLease(StoreLeaseId, DoneCallback) override {}

 private:
  bool Down() const { return m_store.outage || cut; }

  void EndWatch(std::uint64_t id) {
    const auto* watch = m_waiting[id];
    m_waiting.erase(id);
    for (auto row = m_store.watches.begin(); row != m_store.watches.end(); ++row) {
      if (&*row != watch || row->until > m_time.Now()) {
        continue;
      }
      const BatchCallback callback = std::move(row->callback);
      m_store.watches.erase(row);
      if (Down()) {
        callback(Unavailable());
      } else {
        callback(StoreBatch{{}, m_store.version});
      }
      return;
    }
  }

  static Error Unavailable() { return MakeError(ErrorKind::kStoreUnavailable, "store outage"); }

  /** Applies the call after one delay and answers after another; outages are checked in between. */
  template <typename Value>
  void Answer(std::function<void(Result<Value>)> callback, std::function<Result<Value>()> effect) {
    m_scheduler.Post(m_store.delay, [this, callback, effect] {
      Result<Value> answer = Down() ? Result<Value>(Unavailable()) : effect();
      m_scheduler.Post(m_store.delay, [callback, answer] { callback(answer); });
    });
  }

  void Write(const std::string& key,
             std::uint64_t expected,
             const std::optional<std::string>& value,
             WriteCallback callback) {
    ++m_store.writes;
    m_store.largest_value =
        std::max<std::uint64_t>(m_store.largest_value, value.value_or("").size());
    Answer<std::uint64_t>(std::move(callback), [this, key, expected, value] {
      const auto found = m_store.records.find(key);
      const bool there = found != m_store.records.end() && found->second.value;
      const std::uint64_t actual = there ? found->second.version : 0;
      if (actual != expected) {
        return Result<std::uint64_t>(MakeError(ErrorKind::kStoreConflict, "other version"));
      }
      m_store.records[key] = {key, ++m_store.version, value};
      m_store.NotifyWatches();
      if (m_store.responses_to_lose > 0) {
        --m_store.responses_to_lose;
        return Result<std::uint64_t>(MakeError(ErrorKind::kStoreOutcomeUnknown, "answer lost"));
      }
      return Result<std::uint64_t>(m_store.version);
    });
  }

  FakeStore& m_store;
  VirtualTime& m_time;
  ProcessScheduler& m_scheduler;
  std::uint64_t m_next_watch = 0;
  std::map<std::uint64_t, const FakeStore::Watch*> m_waiting;
  std::shared_ptr<char> m_owner = std::make_shared<char>();
};

}  // namespace zinnia
