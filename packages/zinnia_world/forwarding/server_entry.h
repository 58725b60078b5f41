#pragma once

#include <cstdint>
#include <string>

#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** The registration of one incarnation of a backend server.

    A restarted server may register under the same identifier but has lost its state. `name` is
    therefore unique to an incarnation, so that state keyed by it (connections, load, suspicion,
    orders, running requests) is never applied to a later one.
*/
struct ServerEntry {
  /** Unique to this incarnation. */
  BackendServerName name;

  /** The server's own identifier, which may be the same for all its incarnations. */
  std::string registration;

  /** Start time by the server's clock; 0 if not reported, in which case each incarnation has a new
      registration. Incarnations are ordered by their entries in the store, not by this time, since
      the clock may go backwards. */
  std::uint64_t started_at_ms = 0;

  ServiceName service;
  NetworkAddress address;
  FailureDomainName failure_domain;
  std::uint32_t most_requests = 1;

  /** Whether the server is shutting down and accepts no new work. */
  bool draining = false;

  /** The key into EngineProfile::accelerators; empty for plain services. */
  std::string accelerator;

  /** The loaded layers; empty for plain services and for engines without loaded layers. */
  LayerRange layers;

  bool operator==(const ServerEntry&) const = default;
};

}  // namespace zinnia
