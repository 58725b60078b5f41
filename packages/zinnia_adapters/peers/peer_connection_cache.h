#pragma once

#include <kj/async-io.h>

#include <map>
#include <memory>

#include "zinnia_adapters/peers/peer_connection.h"
#include "zinnia_base/random/random_source.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

class PeerAuthenticator;

/** Bounds of PeerConnectionCache. */
struct PeerConnectionLimits {
  Duration connect_limit = std::chrono::seconds(2);
  Duration first_backoff = std::chrono::milliseconds(50);
  Duration longest_backoff = std::chrono::seconds(5);
  Duration idle_limit = std::chrono::seconds(60);
};

/** At most one connection to each peer, made when it is wanted.

    After a failed attempt, callers fail at once until a backoff has passed, doubling each time and
    spread by chance: otherwise all instances would try a restarted one at the same moment.
*/
class PeerConnectionCache {
 public:
  using Shared = std::shared_ptr<PeerConnection>;

  PeerConnectionCache(kj::AsyncIoContext& io,
                      const Clock& clock,
                      std::shared_ptr<const PeerAuthenticator> authenticator,
                      PeerConnectionLimits limits,
                      std::uint64_t seed);

  /** A connection that is authenticated and not known to be closed. Hold it while it is in use. */
  kj::Promise<Shared> Get(const NetworkAddress& address);

  /** Closes connections that nobody used for the idle limit, and forgets peers with neither a
      connection nor a backoff to remember. */
  void DropIdle();

 private:
  struct Peer {
    Shared connection;
    kj::Maybe<kj::ForkedPromise<Shared>> connecting;
    bool attempt_ended = false;
    TimePoint last_used{};
    TimePoint not_before{};
    unsigned failures = 0;
  };

  kj::Promise<Shared> Connect(const NetworkAddress& address);
  void OnFailed(const NetworkAddress& address);
  Duration BackoffAfter(unsigned failures);

  kj::AsyncIoContext& m_io;
  const Clock& m_clock;
  const std::shared_ptr<const PeerAuthenticator> m_authenticator;
  const PeerConnectionLimits m_limits;
  RandomSource m_random;
  std::map<NetworkAddress, Peer> m_peers;
};

}  // namespace zinnia
