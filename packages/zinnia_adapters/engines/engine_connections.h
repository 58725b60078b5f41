#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "zinnia_adapters/engines/channel_parts.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class BackendConnection;

/** Kept connections to one engine. New ones go to where the snapshot has the engine now. */
class EngineConnections {
 public:
  EngineConnections(const ChannelParts& parts, BackendServerName server, std::size_t most_idle);

  struct Taken {
    /** Kept or new; null if the engine is not known. */
    std::shared_ptr<BackendConnection> connection;

    /** A kept one had ended or led elsewhere: the engine went away meanwhile, or moved. */
    bool found_stale = false;
  };
  Taken Take();

  /** Drops it if it cannot be used again, or if enough are kept. */
  void Keep(std::shared_ptr<BackendConnection> connection);

  void Clear() { m_idle.clear(); }

 private:
  const ChannelParts m_parts;
  const BackendServerName m_server;
  const std::size_t m_most_idle;
  std::vector<std::shared_ptr<BackendConnection>> m_idle;
};

}  // namespace zinnia
