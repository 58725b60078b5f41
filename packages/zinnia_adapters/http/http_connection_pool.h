#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <memory>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

/** Open connections of HttpClient that wait for their next call. Lives on the client's I/O thread.
 */
class HttpConnectionPool {
 public:
  using Stream = boost::beast::tcp_stream;

  HttpConnectionPool(const Clock& clock, std::size_t most_idle_per_address, Duration idle_limit)
      : m_clock(clock), m_most_idle(most_idle_per_address), m_idle_limit(idle_limit) {}

  /** The most recently used connection that is still open, or null. */
  std::unique_ptr<Stream> Take(const NetworkAddress& address);

  void Keep(const NetworkAddress& address, std::unique_ptr<Stream> stream);

 private:
  struct Idle {
    std::unique_ptr<Stream> stream;
    TimePoint since{};
  };

  void DropExpired();

  const Clock& m_clock;
  const std::size_t m_most_idle;
  const Duration m_idle_limit;
  std::map<NetworkAddress, std::deque<Idle>> m_idle;
};

}  // namespace zinnia
