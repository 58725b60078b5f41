#pragma once

#include <memory>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/ports/instance_list.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

class HttpClient;

/** The platform's instance list over HTTP. A row that cannot be read is left out, so that it hides
    no others; if it names a server, that one still counts as listed. What is no list at all fails
    as kStoreUnavailable. */
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
