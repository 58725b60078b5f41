#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "zinnia_base/time/virtual_time.h"
#include "zinnia_decisions/ports/platform_store.h"

namespace zinnia {

/** A store in virtual time for many clients: records with a history, leases, watches that wait, and
    restarts from an older copy. Its records can be written directly, as operators and servers do.
 */
class OlderCopyStore {
 public:
  explicit OlderCopyStore(VirtualTime& time) : m_time(time) { Snapshot(); }

  void Put(const std::string& key, const std::string& value, StoreLeaseId lease = 0) {
    ++m_data.version;
    m_data.records[key] = {key, m_data.version, value};
    m_data.leases_of_keys[key] = lease;
    m_data.history.push_back(m_data.records[key]);
    Snapshot();
    WakeWatches();
  }

  void Erase(const std::string& key) {
    if (m_data.records.erase(key) == 0) {
      return;
    }
    m_data.leases_of_keys.erase(key);
    m_data.history.push_back({key, ++m_data.version, std::nullopt});
    Snapshot();
    WakeWatches();
  }

  /** All calls fail after a while, and no watch is answered. */
  void GoAway() {
    m_is_away = true;
    m_watches.clear();
  }

  /** Serves again, with all that it held. */
  void ComeBack() { m_is_away = false; }

  /** Serves again, with the records and leases that it had `age` ago. The next era begins. */
  void ComeBackOlder(Duration age) {
    const TimePoint copied_at = m_time.Now() - age;
    while (m_copies.size() > 1 && m_copies.back().first > copied_at) {
      m_copies.pop_back();
    }
    m_data = m_copies.back().second;
    ++m_era;
    m_is_away = false;
    m_watches.clear();
    Snapshot();
  }

  /** Watches are accepted and hear nothing, whatever changes. */
  void SetWatchesSilent(bool silent) { m_watches_silent = silent; }

  /** The connections of all pending watches end without an answer. */
  void CutWatches() {
    auto waiting = std::exchange(m_watches, {});
    for (auto& [number, watch] : waiting) {
      watch.answer(MakeError(ErrorKind::kStoreOutcomeUnknown, "the connection has ended"));
    }
  }

  /** The connections of all pending watches go silent; new ones work. */
  void SilencePendingWatches() { m_watches.clear(); }

  /** Pending watches never hear anything, and later ones are told that the history is lost. */
  void DropHistory() {
    m_watches.clear();
    m_data.history.clear();
    m_data.history_begins_after = m_data.version;
    Snapshot();
  }

  /** Lists that may lag are so old from now on. */
  void SetLag(Duration lag) { m_lag = lag; }

  bool Has(const std::string& key) const { return m_data.records.contains(key); }
  const std::map<std::string, StoreRecord>& Records() const { return m_data.records; }
  std::uint64_t Version() const { return m_data.version; }
  StoreEra Era() const { return m_era; }

  /** Calls of all clients so far, failed ones included. */
  int calls = 0;
  int writes = 0;

 private:
  friend class OlderCopyStoreClient;

  struct Lease {
    std::chrono::milliseconds time_to_live{0};
    TimePoint ends_at{};
  };

  struct Data {
    std::map<std::string, StoreRecord> records;
    std::map<std::string, StoreLeaseId> leases_of_keys;
    std::map<StoreLeaseId, Lease> leases;
    std::vector<StoreRecord> history;
    std::uint64_t history_begins_after = 0;
    std::uint64_t version = 1;
  };

  struct Watch {
    std::uint64_t after = 0;
    std::function<void(const Result<StoreBatch>&)> answer;
  };

  void Snapshot() { m_copies.emplace_back(m_time.Now(), m_data); }

  StoreBatch ChangesAfter(std::uint64_t after) const {
    StoreBatch batch{{}, m_data.version, m_era};
    for (const StoreRecord& record : m_data.history) {
      if (record.version > after) {
        batch.records.push_back(record);
      }
    }
    return batch;
  }

  /** What a list that may lag shows: its revision is that of its newest record. */
  StoreBatch LaggingList() const {
    const Data* data = &m_data;
    for (auto copy = m_copies.rbegin(); copy != m_copies.rend(); ++copy) {
      data = &copy->second;
      if (copy->first <= m_time.Now() - m_lag) {
        break;
      }
    }
    StoreBatch batch{{}, 0, m_era};
    for (const auto& [key, record] : data->records) {
      batch.records.push_back(record);
      batch.version = std::max(batch.version, record.version);
    }
    return batch;
  }

  void WakeWatches() {
    if (m_watches_silent || m_is_away) {
      return;
    }
    auto waiting = std::exchange(m_watches, {});
    for (auto& [number, watch] : waiting) {
      watch.answer(ChangesAfter(watch.after));
    }
  }

  void EndLapsedLeases() {
    std::vector<std::string> lapsed;
    for (const auto& [key, lease] : m_data.leases_of_keys) {
      const auto found = m_data.leases.find(lease);
      if (lease != 0 && (found == m_data.leases.end() || found->second.ends_at < m_time.Now())) {
        lapsed.push_back(key);
      }
    }
    for (const std::string& key : lapsed) {
      Erase(key);
    }
  }

  VirtualTime& m_time;
  Data m_data;
  std::deque<std::pair<TimePoint, Data>> m_copies;
  StoreEra m_era = 1;
  Duration m_lag{};
  bool m_is_away = false;
  bool m_watches_silent = false;
  std::map<std::uint64_t, Watch> m_watches;
  std::uint64_t m_last_watch = 0;
  StoreLeaseId m_last_lease = 0;
};

/** One instance's connection to an OlderCopyStore. */
class OlderCopyStoreClient final : public PlatformStore {
 public:
  OlderCopyStoreClient(OlderCopyStore& store, VirtualTime& time) : m_store(store), m_time(time) {}

  /** The store turns this client away and serves the others. */
  void SetRefused(bool refused) { m_is_refused = refused; }

  bool HasWatchedWithin(Duration duration) const {
    return m_watched_at && m_time.Now() - *m_watched_at <= duration;
  }

  /** The store is silent towards this client and serves the others. */
  void SetSilenced(bool silenced) { m_is_silenced = silenced; }

  /** Calls are carried out and not answered. */
  void SetAnswersLost(bool lost) { m_are_answers_lost = lost; }

  void SetEraListener(StoreEraListener* listener) override { m_era_listener = listener; }

  void Get(std::string key, ReadCallback callback) override {
    Call<std::optional<StoreRecord>>(std::move(callback), [this, key = std::move(key)] {
      const auto found = m_store.m_data.records.find(key);
      return Result<std::optional<StoreRecord>>(
          found == m_store.m_data.records.end() ? std::nullopt : std::optional(found->second));
    });
  }

  void List(std::string /*prefix*/, BatchCallback callback) override {
    Call<StoreBatch>(std::move(callback), [this] {
      StoreBatch batch{{}, m_store.m_data.version, m_store.m_era};
      for (const auto& [key, record] : m_store.m_data.records) {
        batch.records.push_back(record);
      }
      return Result<StoreBatch>(batch);
    });
  }

  void ListMayLag(std::string prefix, BatchCallback callback) override {
    if (m_store.m_lag == Duration::zero()) {
      List(std::move(prefix), std::move(callback));
      return;
    }
    Call<StoreBatch>(std::move(callback),
                     [this] { return Result<StoreBatch>(m_store.LaggingList()); });
  }

  void CompareAndSwap(std::string key,
                      std::uint64_t expected,
                      std::string value,
                      std::optional<StoreLeaseId> lease,
                      WriteCallback callback) override {
    ++m_store.writes;
    Call<std::uint64_t>(std::move(callback), [this, key, expected, value, lease] {
      const auto found = m_store.m_data.records.find(key);
      const bool is_there = found != m_store.m_data.records.end();
      if (expected != (is_there ? found->second.version : 0)) {
        return Result<std::uint64_t>(MakeError(ErrorKind::kStoreConflict, "other version"));
      }
      if (lease && !m_store.m_data.leases.contains(*lease)) {
        return Result<std::uint64_t>(MakeError(ErrorKind::kNotFound, "no such lease"));
      }
      m_store.Put(key, value, lease.value_or(0));
      return Result<std::uint64_t>(m_store.m_data.version);
    });
  }

  void Delete(std::string key, std::uint64_t, WriteCallback callback) override {
    ++m_store.writes;
    Call<std::uint64_t>(std::move(callback), [this, key] {
      m_store.Erase(key);
      return Result<std::uint64_t>(m_store.m_data.version);
    });
  }

  void GrantLease(std::chrono::milliseconds time_to_live, LeaseCallback callback) override {
    ++m_store.writes;
    Call<StoreLeaseId>(std::move(callback), [this, time_to_live] {
      const StoreLeaseId lease = ++m_store.m_last_lease;
      m_store.m_data.leases[lease] = {time_to_live, m_time.Now() + time_to_live};
      m_store.Snapshot();
      return Result<StoreLeaseId>(lease);
    });
  }

  void KeepLeaseAlive(StoreLeaseId lease, DoneCallback callback) override {
    Call<void>(std::move(callback), [this, lease] {
      const auto found = m_store.m_data.leases.find(lease);
      if (found == m_store.m_data.leases.end()) {
        return Result<void>(MakeError(ErrorKind::kNotFound, "no such lease"));
      }
      found->second.ends_at = m_time.Now() + found->second.time_to_live;
      m_store.Snapshot();
      return Result<void>();
    });
  }

  void RevokeLease(StoreLeaseId lease, DoneCallback callback) override {
    Call<void>(std::move(callback), [this, lease] {
      m_store.m_data.leases.erase(lease);
      m_store.EndLapsedLeases();
      return Result<void>();
    });
  }

  void Watch(std::string /*prefix*/,
             std::uint64_t after,
             std::chrono::milliseconds longest_wait,
             BatchCallback callback) override {
    ++m_store.calls;
    m_watched_at = m_time.Now();
    if (m_is_refused) {
      After(kDelay, [callback = std::move(callback)] {
        callback(MakeError(ErrorKind::kStoreUnavailable, "refused"));
      });
      return;
    }
    auto pending = std::make_shared<BatchCallback>(std::move(callback));
    const auto answer = [this, pending](const Result<StoreBatch>& batch) {
      if (m_is_silenced) {
        return;
      }
      if (BatchCallback once = std::exchange(*pending, {})) {
        Hear();
        once(batch);
      }
    };
    After(longest_wait + kWatchMargin, [pending] {
      if (BatchCallback once = std::exchange(*pending, {})) {
        once(MakeError(ErrorKind::kStoreOutcomeUnknown, "no answer"));
      }
    });
    if (!m_store.m_is_away &&
        (after < m_store.m_data.history_begins_after || after > m_store.m_data.version)) {
      After(kDelay,
            [answer] { answer(MakeError(ErrorKind::kStoreHistoryLost, "no such history")); });
      return;
    }
    if (m_store.m_is_away) {
      return;
    }
    const std::uint64_t number = ++m_store.m_last_watch;
    After(longest_wait, [this, number, answer] {
      if (m_store.m_watches.erase(number) > 0 && !m_store.m_watches_silent) {
        answer(m_store.ChangesAfter(m_store.m_data.version));
      }
    });
    m_store.m_watches[number] = {after, [this, answer](const Result<StoreBatch>& batch) {
                                   After(kDelay, [answer, batch] { answer(batch); });
                                 }};
    if (m_store.m_data.version > after) {
      m_store.WakeWatches();
    }
  }

 private:
  static constexpr Duration kDelay = std::chrono::milliseconds(4);
  static constexpr Duration kCallLimit = std::chrono::milliseconds(900);
  static constexpr Duration kWatchMargin = std::chrono::milliseconds(700);

  template <typename Value, typename Make>
  void Call(std::function<void(Result<Value>)> callback, Make make) {
    ++m_store.calls;
    if (m_is_refused) {
      After(kDelay, [callback] { callback(MakeError(ErrorKind::kStoreUnavailable, "refused")); });
      return;
    }
    const bool no_answer = m_store.m_is_away || m_is_silenced;
    After(no_answer ? kCallLimit : kDelay, [this, callback, make, no_answer] {
      if (no_answer) {
        callback(MakeError(ErrorKind::kStoreOutcomeUnknown, "no answer"));
        return;
      }
      const Result<Value> answer = make();
      if (m_are_answers_lost) {
        After(kCallLimit,
              [callback] { callback(MakeError(ErrorKind::kStoreOutcomeUnknown, "no answer")); });
        return;
      }
      Hear();
      callback(answer);
    });
  }

  void Hear() {
    if (m_era_listener != nullptr && !m_store.m_is_away) {
      m_era_listener->OnStoreEra(m_store.m_era);
    }
  }

  void After(Duration delay, std::function<void()> call) {
    const std::uint64_t number = ++m_last_call;
    m_calls[number] = m_time.ScheduleAfter(delay, [this, number, call = std::move(call)] {
      const auto running = m_calls.extract(number);  // Owns `call` until it returns.
      call();
    });
  }

  OlderCopyStore& m_store;
  VirtualTime& m_time;
  StoreEraListener* m_era_listener = nullptr;
  std::optional<TimePoint> m_watched_at;
  bool m_is_refused = false;
  bool m_is_silenced = false;
  bool m_are_answers_lost = false;
  std::uint64_t m_last_call = 0;
  std::map<std::uint64_t, std::unique_ptr<ScheduledCall>> m_calls;
};

}  // namespace zinnia
