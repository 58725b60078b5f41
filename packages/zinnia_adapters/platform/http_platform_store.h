#pragma once

#include <memory>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/ports/platform_store.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

class HttpClient;
class JsonFields;
enum class StoreAccess;

/** The platform's key-value service over HTTP, as docs/PROTOCOLS.md gives it.

    Callbacks run where the client posts them, which must be the control thread. Give the addresses
    of the same store in the order in which to try them; at least one. Calls in flight when the
    HttpClient is destroyed are never answered.

    @see HttpClient, StoreCall
*/
class HttpPlatformStore final : public PlatformStore {
 public:
  HttpPlatformStore(std::shared_ptr<HttpClient> client,
                    std::vector<NetworkAddress> addresses,
                    Duration time_limit);

  void Get(std::string key, ReadCallback callback) override;
  void List(std::string prefix, BatchCallback callback) override;
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
  template <typename Value>
  void Call(std::string path,
            std::string body,
            StoreAccess access,
            Duration time_limit,
            Value (*read)(const JsonFields&),
            std::function<void(Result<Value>)> callback);

  const std::shared_ptr<HttpClient> m_client;
  const std::vector<NetworkAddress> m_addresses;
  const Duration m_time_limit;
};

}  // namespace zinnia
