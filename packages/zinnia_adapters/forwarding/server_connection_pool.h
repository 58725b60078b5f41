#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <utility>

#include "zinnia_adapters/forwarding/server_connection_parts.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/paths/idle_connections.h"
#include "zinnia_world/forwarding/server_entry.h"

namespace zinnia {

class ServerConnection;

/** Pool of idle connections to backend servers. Reuses the most recently used connection first. Not
    thread-safe. */
class ServerConnectionPool final : public IdleConnections {
 public:
  ServerConnectionPool(boost::asio::io_context& loop, ServerConnectionParts parts)
      : m_loop(loop), m_parts(std::move(parts)) {}
  ~ServerConnectionPool() override;

  /** Returns a pooled connection idle for at most `longest_idle`, or a new one. */
  std::shared_ptr<ServerConnection> Take(const BackendServerName& server,
                                         const NetworkAddress& address,
                                         Duration longest_idle);

  /** Returns a connection to the pool; one that is not reusable is dropped. */
  void Keep(const BackendServerName& server, std::shared_ptr<ServerConnection> connection);

  bool HasIdle(const BackendServerName& server) const override;

  /** Closes all pooled connections. */
  void CloseIdle();

  /** Closes connections that were idle for too long or whose server is not in `servers`. */
  void DropUnused(const std::map<BackendServerName, ServerEntry>& servers);

 private:
  using Idle = std::deque<std::shared_ptr<ServerConnection>>;

  bool IsTooOld(const ServerConnection& connection, Duration longest_idle) const;

  boost::asio::io_context& m_loop;
  const ServerConnectionParts m_parts;
  std::map<BackendServerName, Idle> m_idle;
};

}  // namespace zinnia
