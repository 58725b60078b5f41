#include "zinnia_adapters/forwarding/server_connection_pool.h"

#include <algorithm>
#include <utility>

#include "zinnia_adapters/forwarding/server_connection.h"

namespace zinnia {
namespace {

/** Maximum idle time; idle connections count against the limits of servers. */
constexpr Duration kLongestIdle = std::chrono::seconds(10);

/** Margin before the server's idle timeout; a request that races with the close would have an
    unknown outcome. */
constexpr Duration kIdleMargin = std::chrono::milliseconds(150);

}  // namespace

ServerConnectionPool::~ServerConnectionPool() {
  CloseIdle();
}

void ServerConnectionPool::CloseIdle() {
  for (auto& [server, idle] : m_idle) {
    for (const auto& connection : idle) {
      connection->Close();
    }
  }
  m_idle.clear();
}

bool ServerConnectionPool::IsTooOld(const ServerConnection& connection,
                                    Duration longest_idle) const {
  const Duration idle = m_parts.clock.Now() - connection.IdleSince();
  const Duration server_limit = connection.ServerIdleLimit();
  return idle > longest_idle ||
         (server_limit > Duration::zero() && idle + kIdleMargin > server_limit);
}

std::shared_ptr<ServerConnection> ServerConnectionPool::Take(const BackendServerName& server,
                                                             const NetworkAddress& address,
                                                             Duration longest_idle) {
  Idle& idle = m_idle[server];
  while (!idle.empty()) {
    std::shared_ptr<ServerConnection> connection = std::move(idle.back());
    idle.pop_back();
    if (connection->IsReusable() && !IsTooOld(*connection, kLongestIdle)) {
      if (!IsTooOld(*connection, longest_idle)) {
        return connection;
      }
      idle.push_back(std::move(connection));
      break;
    }
    connection->Close();
  }
  return ServerConnection::Create(m_loop, m_parts, server, address);
}

bool ServerConnectionPool::HasIdle(const BackendServerName& server) const {
  const auto idle = m_idle.find(server);
  return idle != m_idle.end() && !idle->second.empty() && idle->second.back()->IsReusable() &&
         !IsTooOld(*idle->second.back(), kLongestIdle);
}

void ServerConnectionPool::Keep(const BackendServerName& server,
                                std::shared_ptr<ServerConnection> connection) {
  if (!connection->IsReusable()) {
    connection->Close();
    return;
  }
  connection->WatchIdle();
  m_idle[server].push_back(std::move(connection));
}

void ServerConnectionPool::DropUnused(const std::map<BackendServerName, ServerEntry>& servers) {
  for (auto& [server, idle] : m_idle) {
    const bool known = servers.contains(server);
    std::erase_if(idle, [&](const std::shared_ptr<ServerConnection>& connection) {
      const bool drop = !known || !connection->IsReusable() || IsTooOld(*connection, kLongestIdle);
      if (drop) {
        connection->Close();
      }
      return drop;
    });
  }
  std::erase_if(m_idle, [&](const auto& entry) {
    return entry.second.empty() && !servers.contains(entry.first);
  });
}

}  // namespace zinnia
