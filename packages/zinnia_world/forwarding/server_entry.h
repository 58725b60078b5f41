#pragma once

#include <cstdint>
#include <string>

#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** One start of a backend server, as it registered itself.

    A server may start again under the identifier that it had, and then holds nothing of what it
    held. So `name` stands for one start: whatever is kept by it (connections, loads, suspicion,
    orders, running requests) ends with that start by itself, and nothing that was learned of an
    earlier one is believed of a later one.
*/
struct ServerEntry {
  /** Unique to this start. */
  BackendServerName name;

  /** What the server calls itself, the same at each start. */
  std::string registration;

  /** When this start began by the server's clock, which may be behind an earlier start's: only the
      order of entries in the store tells which start is the later one. 0 if the server does not
      say; it then has a new registration at each start. */
  std::uint64_t started_at_ms = 0;

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
