#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/ports/platform_store.h"

namespace zinnia {

class Logger;

/** What an instance calls the platform's store for. */
enum class StorePurpose { kGet, kList, kListMayLag, kWatch, kWrite, kGrantLease, kRenewLease };

/** A store that counts the calls that go through it by purpose, since each has a price, and writes
    their sums to the log every ten seconds at most: the line `store_calls`.

    Lives on the control thread.
*/
class CountingPlatformStore final : public PlatformStore {
 public:
  /** All must outlive it. */
  CountingPlatformStore(PlatformStore& store, const Clock& clock, Logger& logger);

  void SetEraListener(StoreEraListener* listener) override { m_store.SetEraListener(listener); }
  void Get(std::string key, ReadCallback callback) override;
  void List(std::string prefix, BatchCallback callback) override;
  void ListMayLag(std::string prefix, BatchCallback callback) override;
  void CompareAndSwap(std::string key,
                      std::uint64_t expected_version,
                      std::string value,
                      std::optional<StoreLeaseId> lease,
                      WriteCallback callback) override;
  void Delete(std::string key, std::uint64_t expected_version, WriteCallback callback) override;
  void GrantLease(std::chrono::milliseconds time_to_live, LeaseCallback callback) override;
  void KeepLeaseAlive(StoreLeaseId lease, DoneCallback callback) override;
  void RevokeLease(StoreLeaseId lease, DoneCallback callback) override;
  void Watch(std::string prefix,
             std::uint64_t after_version,
             std::chrono::milliseconds longest_wait,
             BatchCallback callback) override;

 private:
  static constexpr std::size_t kPurposes = 7;

  void Count(StorePurpose purpose);
  std::string CountOf(StorePurpose purpose) const;

  PlatformStore& m_store;
  const Clock& m_clock;
  Logger& m_logger;
  std::array<std::uint64_t, kPurposes> m_counts{};
  TimePoint m_logged_at;
};

}  // namespace zinnia
