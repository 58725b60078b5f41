#include "zinnia_adapters/callers/caller_connections.h"

#include <algorithm>
#include <utility>

#include "zinnia_adapters/callers/caller_connection.h"

namespace zinnia {

void CallerConnections::Add(std::shared_ptr<CallerConnection> connection) {
  CallerConnection* const key = connection.get();
  m_connections.emplace(key, std::move(connection));
}

std::size_t CallerConnections::CountUnsentAnswers() const {
  return static_cast<std::size_t>(
      std::count_if(m_connections.begin(), m_connections.end(),
                    [](const auto& entry) { return entry.second->HasUnsentAnswer(); }));
}

std::size_t CallerConnections::CountRequestsBeingRead() const {
  return static_cast<std::size_t>(
      std::count_if(m_connections.begin(), m_connections.end(),
                    [](const auto& entry) { return entry.second->IsReadingRequest(); }));
}

void CallerConnections::CloseIdle() {
  const Connections connections = m_connections;
  for (const auto& [key, connection] : connections) {
    connection->CloseIfIdle();
  }
}

void CallerConnections::CloseAll() {
  const Connections connections = m_connections;
  for (const auto& [key, connection] : connections) {
    connection->Close();
  }
}

}  // namespace zinnia
