#pragma once

#include <cstdint>
#include <string>

#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** A running backend server as it registered itself. Each start has a new name. */
struct ServerEntry {
  BackendServerName name;
  ServiceName service;
  NetworkAddress address;
  FailureDomainName failure_domain;
  std::uint32_t most_requests = 1;

  /** It takes no new work and exits soon. */
  bool draining = false;

  /** The key into EngineProfile::accelerators; empty for plain services. */
  std::string accelerator;

  /** The layers that it holds; empty for plain services and for an engine that holds none. */
  LayerRange layers;

  bool operator==(const ServerEntry&) const = default;
};

}  // namespace zinnia
