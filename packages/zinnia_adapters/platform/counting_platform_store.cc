#include "zinnia_adapters/platform/counting_platform_store.h"

#include <utility>

#include "zinnia_base/logging/logger.h"

namespace zinnia {
namespace {

/** A line is some hundred bytes; more often, it would tell nothing new. */
constexpr Duration kLogInterval = std::chrono::seconds(10);

}  // namespace

CountingPlatformStore::CountingPlatformStore(PlatformStore& store,
                                             const Clock& clock,
                                             Logger& logger)
    : m_store(store), m_clock(clock), m_logger(logger), m_logged_at(clock.Now()) {}

void CountingPlatformStore::Count(StorePurpose purpose) {
  ++m_counts[static_cast<std::size_t>(purpose)];
  if (m_clock.Now() - m_logged_at < kLogInterval) {
    return;
  }
  m_logged_at = m_clock.Now();
  m_logger.Log(LogLevel::kInfo, "store_calls",
               {{"get", CountOf(StorePurpose::kGet)},
                {"list", CountOf(StorePurpose::kList)},
                {"list_may_lag", CountOf(StorePurpose::kListMayLag)},
                {"watch", CountOf(StorePurpose::kWatch)},
                {"write", CountOf(StorePurpose::kWrite)},
                {"grant_lease", CountOf(StorePurpose::kGrantLease)},
                {"renew_lease", CountOf(StorePurpose::kRenewLease)}});
}

std::string CountingPlatformStore::CountOf(StorePurpose purpose) const {
  return std::to_string(m_counts[static_cast<std::size_t>(purpose)]);
}

void CountingPlatformStore::Get(std::string key, ReadCallback callback) {
  Count(StorePurpose::kGet);
  m_store.Get(std::move(key), std::move(callback));
}

void CountingPlatformStore::List(std::string prefix, BatchCallback callback) {
  Count(StorePurpose::kList);
  m_store.List(std::move(prefix), std::move(callback));
}

void CountingPlatformStore::ListMayLag(std::string prefix, BatchCallback callback) {
  Count(StorePurpose::kListMayLag);
  m_store.ListMayLag(std::move(prefix), std::move(callback));
}

void CountingPlatformStore::CompareAndSwap(std::string key,
                                           std::uint64_t expected_version,
                                           std::string value,
                                           std::optional<StoreLeaseId> lease,
                                           WriteCallback callback) {
  Count(StorePurpose::kWrite);
  m_store.CompareAndSwap(std::move(key), expected_version, std::move(value), lease,
                         std::move(callback));
}

void CountingPlatformStore::Delete(std::string key,
                                   std::uint64_t expected_version,
                                   WriteCallback callback) {
  Count(StorePurpose::kWrite);
  m_store.Delete(std::move(key), expected_version, std::move(callback));
}

void CountingPlatformStore::GrantLease(std::chrono::milliseconds time_to_live,
                                       LeaseCallback callback) {
  Count(StorePurpose::kGrantLease);
  m_store.GrantLease(time_to_live, std::move(callback));
}

void CountingPlatformStore::KeepLeaseAlive(StoreLeaseId lease, DoneCallback callback) {
  Count(StorePurpose::kRenewLease);
  m_store.KeepLeaseAlive(lease, std::move(callback));
}

void CountingPlatformStore::RevokeLease(StoreLeaseId lease, DoneCallback callback) {
  Count(StorePurpose::kWrite);
  m_store.RevokeLease(lease, std::move(callback));
}

void CountingPlatformStore::Watch(std::string prefix,
                                  std::uint64_t after_version,
                                  std::chrono::milliseconds longest_wait,
                                  BatchCallback callback) {
  Count(StorePurpose::kWatch);
  m_store.Watch(std::move(prefix), after_version, longest_wait, std::move(callback));
}

}  // namespace zinnia
