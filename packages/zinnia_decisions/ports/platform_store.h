#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/ports/store_revision.h"

namespace zinnia {

/** A record of the platform's store. `version` is the store-wide number of its last write, which
    increases with every write to any key. No value: the key was deleted at that version. */
struct StoreRecord {
  std::string key;
  std::uint64_t version = 0;
  std::optional<std::string> value;

  bool operator==(const StoreRecord&) const = default;
};

/** The records under a prefix that changed after some version, and the store's current version. */
struct StoreBatch {
  std::vector<StoreRecord> records;
  std::uint64_t version = 0;

  /** The era of all versions in this batch. Empty if the store named none. */
  std::optional<StoreEra> era;
};

/** Receives the era named in each response of the store, also of failed calls, before the
   response's own callback runs. Called on the control thread. */
class StoreEraListener {
 public:
  virtual ~StoreEraListener() = default;
  virtual void OnStoreEra(StoreEra era) = 0;
  virtual void OnUnreadableStoreEra(const std::string& text) = 0;
};

using StoreLeaseId = std::uint64_t;

/** The platform's key-value store, with compare-and-swap, leases and watches.

    Every callback runs exactly once, asynchronously, on the control thread.
    Failures:
    - kStoreUnavailable: the call had no effect;
    - kStoreOutcomeUnknown: the response was lost, so a write may or may not have taken effect; read
      the record back to find out;
    - kStoreConflict: the record was at another version; nothing was written.

    Each call counts against the store's rate limits; a pending watch counts as one.
*/
class PlatformStore {
 public:
  using ReadCallback = std::function<void(Result<std::optional<StoreRecord>>)>;
  using WriteCallback = std::function<void(Result<std::uint64_t>)>;
  using BatchCallback = std::function<void(Result<StoreBatch>)>;
  using LeaseCallback = std::function<void(Result<StoreLeaseId>)>;
  using DoneCallback = std::function<void(Result<void>)>;

  virtual ~PlatformStore() = default;

  /** Sets who hears of eras; null for nobody. A store without eras ignores it. */
  virtual void SetEraListener(StoreEraListener* /*listener*/) {}

  virtual void Get(std::string key, ReadCallback callback) = 0;

  virtual void List(std::string prefix, BatchCallback callback) = 0;

  /** Like List, but may return a version of the records that is some seconds old if that is
      cheaper. A watch from the batch's version misses no change. */
  virtual void ListMayLag(std::string prefix, BatchCallback callback) {
    List(std::move(prefix), std::move(callback));
  }

  /** Writes `value` if the record's version is `expected_version` (0: the key must not exist), and
   * returns the new version. With a lease, the record is deleted when the lease ends. */
  virtual void CompareAndSwap(std::string key,
                              std::uint64_t expected_version,
                              std::string value,
                              std::optional<StoreLeaseId> lease,
                              WriteCallback callback) = 0;

  virtual void Delete(std::string key, std::uint64_t expected_version, WriteCallback callback) = 0;

  virtual void GrantLease(std::chrono::milliseconds time_to_live, LeaseCallback callback) = 0;
  virtual void KeepLeaseAlive(StoreLeaseId lease, DoneCallback callback) = 0;
  virtual void RevokeLease(StoreLeaseId lease, DoneCallback callback) = 0;

  /** Calls back once: as soon as something under `prefix` changed after `after_version`, or with an
      empty batch after `longest_wait`. Call again with the batch's version. */
  virtual void Watch(std::string prefix,
                     std::uint64_t after_version,
                     std::chrono::milliseconds longest_wait,
                     BatchCallback callback) = 0;
};

}  // namespace zinnia
