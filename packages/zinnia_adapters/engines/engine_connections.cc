#include "zinnia_adapters/engines/engine_connections.h"

#include <utility>

#include "zinnia_adapters/http/backend_connection.h"
#include "zinnia_decisions/ports/snapshot_source.h"

namespace zinnia {

EngineConnections::EngineConnections(const ChannelParts& parts,
                                     BackendServerName server,
                                     std::size_t most_idle)
    : m_parts(parts), m_server(std::move(server)), m_most_idle(most_idle) {}

EngineConnections::Taken EngineConnections::Take() {
  const auto snapshot = m_parts.snapshots.Current();
  const auto found = snapshot->servers.find(m_server);
  if (found == snapshot->servers.end()) {
    return {};
  }
  const NetworkAddress& address = found->second.server.address;
  Taken taken;
  while (!m_idle.empty()) {
    taken.connection = std::move(m_idle.back());
    m_idle.pop_back();
    if (taken.connection->IsReusable() && taken.connection->Address() == address) {
      return taken;
    }
    taken.found_stale = true;
  }
  taken.connection = BackendConnection::Create(m_parts.loop, address);
  return taken;
}

void EngineConnections::Keep(std::shared_ptr<BackendConnection> connection) {
  if (connection->IsReusable() && m_idle.size() < m_most_idle) {
    m_idle.push_back(std::move(connection));
  }
}

}  // namespace zinnia
