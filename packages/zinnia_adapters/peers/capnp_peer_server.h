#pragma once

#include <cstddef>
#include <memory>

#include "zinnia_base/errors/result.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/network_address.h"

namespace kj {
struct AsyncIoContext;
}

namespace zinnia {

class Metrics;
class PeerAuthenticator;
class PeerListener;

/** Bounds of CapnpPeerServer. A connection that has not proved the cluster's secret within
    `authentication_limit` is closed, so that strays cannot hold the places of peers. */
struct PeerServerOptions {
  std::size_t most_connections = 2048;
  std::size_t most_bytes_in_flight_per_connection = std::size_t{4} << 20;
  Duration authentication_limit = std::chrono::seconds(2);
};

/** Takes probes (UDP) and calls (TCP) of the other instances at this instance's peer address and
    hands them to a listener.

    Lives on the control thread: create and destroy it there. The listener's reply functions may be
    called at any later time on that thread, also after the server is gone.

    Counts `peer_datagrams_unauthenticated`, `peer_datagrams_unreadable`,
    `peer_connections_unauthenticated`, `peer_connections_refused`, `peer_listener_failures`.

    @see CapnpPeerTransport, PeerAuthenticator
*/
class CapnpPeerServer {
 public:
  /** Fails with kInvalidSettings if the address cannot be had. Port 0 takes any free one. */
  static Result<std::unique_ptr<CapnpPeerServer>> Listen(
      kj::AsyncIoContext& io,
      const NetworkAddress& address,
      std::shared_ptr<const PeerAuthenticator> authenticator,
      PeerListener& listener,
      Metrics& metrics,
      PeerServerOptions options = {});
  ~CapnpPeerServer();

  /** The address in use, with the real port. */
  const NetworkAddress& address() const;

 private:
  class Impl;
  explicit CapnpPeerServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace zinnia
