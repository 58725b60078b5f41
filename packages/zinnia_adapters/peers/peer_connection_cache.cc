#include "zinnia_adapters/peers/peer_connection_cache.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <utility>

#include "zinnia_adapters/peers/peer_authenticator.h"

namespace zinnia {
namespace {

constexpr unsigned kMostDoublings = 16;

kj::Own<kj::NetworkAddress> Resolve(kj::AsyncIoContext& io, const NetworkAddress& address) {
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address.ip, error);
  KJ_REQUIRE(!error, "not an IP number", address.ip);
  boost::asio::ip::tcp::endpoint endpoint(ip, address.port);
  return io.provider->getNetwork().getSockaddr(endpoint.data(),
                                               static_cast<unsigned>(endpoint.size()));
}

}  // namespace

PeerConnectionCache::PeerConnectionCache(kj::AsyncIoContext& io,
                                         const Clock& clock,
                                         std::shared_ptr<const PeerAuthenticator> authenticator,
                                         PeerConnectionLimits limits,
                                         std::uint64_t seed)
    : m_io(io),
      m_clock(clock),
      m_authenticator(std::move(authenticator)),
      m_limits(limits),
      m_random(seed) {}

kj::Promise<PeerConnectionCache::Shared> PeerConnectionCache::Get(const NetworkAddress& address) {
  Peer& peer = m_peers[address];
  peer.last_used = m_clock.Now();
  if (peer.attempt_ended) {
    // Only now, because a promise must not be destroyed from inside its own continuation.
    peer.connecting = nullptr;
    peer.attempt_ended = false;
  }
  if (peer.connection && peer.connection->IsClosed()) {
    peer.connection.reset();
  }
  if (peer.connection) {
    return peer.connection;
  }
  KJ_IF_MAYBE (connecting, peer.connecting) {
    return connecting->addBranch();
  }
  KJ_REQUIRE(m_clock.Now() >= peer.not_before, "waiting before the next attempt to connect");
  auto forked = Connect(address).fork();
  auto branch = forked.addBranch();
  peer.connecting = kj::mv(forked);
  return branch;
}

kj::Promise<PeerConnectionCache::Shared> PeerConnectionCache::Connect(
    const NetworkAddress& address) {
  const auto limit = m_limits.connect_limit.count() * kj::NANOSECONDS;
  auto attempt =
      kj::evalNow([&] { return PeerConnection::Open(Resolve(m_io, address), m_authenticator); });
  return m_io.provider->getTimer()
      .timeoutAfter(limit, kj::mv(attempt))
      .then(
          [this, address](Shared connection) {
            Peer& peer = m_peers[address];
            peer.connection = connection;
            peer.attempt_ended = true;
            peer.failures = 0;
            return connection;
          },
          [this, address](kj::Exception&& failure) -> Shared {
            OnFailed(address);
            kj::throwFatalException(kj::mv(failure));
          });
}

void PeerConnectionCache::OnFailed(const NetworkAddress& address) {
  Peer& peer = m_peers[address];
  peer.attempt_ended = true;
  peer.not_before = m_clock.Now() + BackoffAfter(peer.failures);
  ++peer.failures;
}

Duration PeerConnectionCache::BackoffAfter(unsigned failures) {
  const Duration doubled = m_limits.first_backoff * (1U << std::min(failures, kMostDoublings));
  const Duration half = std::min(doubled, m_limits.longest_backoff) / 2;
  const double spread = RandomUnit(m_random) * static_cast<double>(half.count());
  return half + Duration(static_cast<Duration::rep>(spread));
}

void PeerConnectionCache::DropIdle() {
  const TimePoint now = m_clock.Now();
  for (auto row = m_peers.begin(); row != m_peers.end();) {
    const Peer& peer = row->second;
    const bool busy = peer.connection.use_count() > 1;
    const bool connecting = peer.connecting != nullptr && !peer.attempt_ended;
    const bool idle = peer.last_used + m_limits.idle_limit < now && peer.not_before < now;
    row = idle && !busy && !connecting ? m_peers.erase(row) : std::next(row);
  }
}

}  // namespace zinnia
