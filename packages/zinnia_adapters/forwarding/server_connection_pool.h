#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/paths/idle_connections.h"
#include "zinnia_world/forwarding/server_entry.h"

namespace zinnia {

class ServerConnection;

/** Kept connections to backend servers, by server. New ones are limited and cost time, so the most
    recently used is taken first. Belongs to one traffic thread. */
class ServerConnectionPool final : public IdleConnections {
 public:
  ServerConnectionPool(boost::asio::io_context& loop, const Clock& clock)
      : m_loop(loop), m_clock(clock) {}
  ~ServerConnectionPool() override;

  /** A kept connection that was idle for no longer than `longest_idle`, or a new one. */
  std::shared_ptr<ServerConnection> Take(const BackendServerName& server,
                                         const NetworkAddress& address,
                                         Duration longest_idle);

  /** Gives a connection back after an answer; one that cannot be used again is dropped. */
  void Keep(const BackendServerName& server, std::shared_ptr<ServerConnection> connection);

  bool HasIdle(const BackendServerName& server) const override;

  /** Closes those that are idle for too long, or whose server is not in `servers`. */
  void DropUnused(const std::map<BackendServerName, ServerEntry>& servers);

 private:
  using Idle = std::deque<std::shared_ptr<ServerConnection>>;

  bool IsTooOld(const ServerConnection& connection, Duration longest_idle) const;

  boost::asio::io_context& m_loop;
  const Clock& m_clock;
  std::map<BackendServerName, Idle> m_idle;
};

}  // namespace zinnia
