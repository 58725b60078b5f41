#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/ports/engine_orders.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

class HttpClient;

/** Orders to model engines over HTTP.

    An order is sent once and never repeated by this class. Failures: kStaleEpoch (409),
    kBackendUnavailable (certainly not received, or 503), kOutcomeUnknown (the answer was lost or is
    another server error), kBackendRejected (any other refusal), kNotFound (no address known).
    ReadState changes nothing, so it fails with kBackendUnavailable only.
*/
class HttpEngineOrders final : public EngineOrders {
 public:
  /** Gives the address of a server, nothing if it is not known. Called on the control thread. */
  using AddressBook = std::function<std::optional<NetworkAddress>(const BackendServerName&)>;

  HttpEngineOrders(std::shared_ptr<HttpClient> client,
                   std::function<void(std::function<void()>)> post,
                   AddressBook address_book,
                   Duration time_limit);

  void Order(const BackendServerName& server,
             LoadOrder order,
             std::function<void(Result<void>)> callback) override;
  void ReadState(const BackendServerName& server,
                 std::function<void(Result<EngineState>)> callback) override;

 private:
  const std::shared_ptr<HttpClient> m_client;
  const std::function<void(std::function<void()>)> m_post;
  const AddressBook m_address_book;
  const Duration m_time_limit;
};

}  // namespace zinnia
