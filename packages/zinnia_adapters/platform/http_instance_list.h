#pragma once

#include <memory>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/ports/instance_list.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

class HttpClient;

/** The platform's instance list over HTTP. A row that cannot be read fails the whole reading, as
    kStoreUnavailable: half a list would look like servers that are gone. */
class HttpInstanceList final : public InstanceList {
 public:
  HttpInstanceList(std::shared_ptr<HttpClient> client, NetworkAddress address, Duration time_limit);

  void Read(Callback callback) override;

 private:
  const std::shared_ptr<HttpClient> m_client;
  const NetworkAddress m_address;
  const Duration m_time_limit;
};

}  // namespace zinnia
