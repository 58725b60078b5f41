#pragma once

#include <cstddef>
#include <memory>
#include <unordered_map>

namespace zinnia {

class CallerConnection;

/** The open connections of a callers' server. Belongs to its traffic thread.

    Closing a connection takes it out of here by way of its owner, so what closes several works on a
    copy.
*/
class CallerConnections {
 public:
  std::size_t Count() const { return m_connections.size(); }

  void Add(std::shared_ptr<CallerConnection> connection);
  void Remove(CallerConnection& connection) { m_connections.erase(&connection); }

  /** How many have answers of which not all is written. */
  std::size_t CountUnsentAnswers() const;

  /** How many have a request that has begun to arrive and is not read whole yet. */
  std::size_t CountRequestsBeingRead() const;

  /** Closes those that are idle between two requests. */
  void CloseIdle();

  void CloseAll();

 private:
  using Connections = std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>>;

  Connections m_connections;
};

}  // namespace zinnia
