#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "zinnia_world/forwarding/engine_profile.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** A configured service: a pool of backend servers. */
struct ForwardService {
  ServiceName name;

  /** Path of the health check; empty if the servers have none. */
  std::string health_path;

  /** Maximum number of connections that a server accepts in total. */
  std::uint32_t most_connections_per_server = 0;

  /** Set for pools of model engines. */
  std::optional<EngineProfile> engine;
};

}  // namespace zinnia
