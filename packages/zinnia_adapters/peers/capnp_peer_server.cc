#include "zinnia_adapters/peers/capnp_peer_server.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <algorithm>
#include <utility>

#include "zinnia_adapters/peers/peer_limits.h"
#include "zinnia_adapters/peers/peer_service.h"
#include "zinnia_adapters/peers/peer_sockets.h"
#include "zinnia_adapters/peers/probe_receiver.h"
#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {
namespace {

/** Wait after a failed accept, which without it would spin: with all descriptors in use, accept
    fails at once, again and again. */
constexpr auto kAcceptPause = 100 * kj::MILLISECONDS;

/** One accepted connection. */
struct ServedConnection {
  ServedConnection(kj::Own<kj::AsyncIoStream> accepted,
                   kj::Own<PeerGate> gate,
                   std::shared_ptr<std::size_t> count,
                   std::size_t most_bytes_in_flight)
      : stream(kj::mv(accepted)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER, PeerCallLimits()),
        rpc(capnp::makeRpcServer(network, wire::Gate::Client(kj::mv(gate)))),
        open_connections(std::move(count)) {
    rpc.setFlowLimit(most_bytes_in_flight / sizeof(capnp::word));
    ++*open_connections;
  }
  ~ServedConnection() noexcept(false) { --*open_connections; }

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
  std::shared_ptr<std::size_t> open_connections;
};

}  // namespace

class CapnpPeerServer::Impl final : private kj::TaskSet::ErrorHandler {
 public:
  Impl(kj::AsyncIoContext& io,
       PeerSockets sockets,
       std::shared_ptr<const PeerAuthenticator> authenticator,
       PeerListener& listener,
       Metrics& metrics,
       PeerServerOptions options)
      : m_io(io),
        m_address(sockets.address),
        m_authenticator(std::move(authenticator)),
        m_listener(listener),
        m_metrics(metrics),
        m_options(options),
        m_probes(io, kj::mv(sockets.datagrams), m_authenticator, listener, metrics),
        m_acceptor(
            io.lowLevelProvider->wrapListenSocketFd(kj::mv(sockets.stream_listener),
                                                    kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK)),
        m_tasks(*this) {
    m_tasks.add(Accept());
  }

  const NetworkAddress& address() const { return m_address; }

 private:
  kj::Promise<void> Accept();
  void Serve(kj::Own<kj::AsyncIoStream> stream);
  kj::Promise<void> AuthenticationLimit(std::shared_ptr<bool> authenticated);

  /** A broken connection is its peer's to notice; here it just ends. */
  void taskFailed(kj::Exception&&) override { m_metrics.Count("peer_connections_failed"); }

  kj::AsyncIoContext& m_io;
  const NetworkAddress m_address;
  const std::shared_ptr<const PeerAuthenticator> m_authenticator;
  PeerListener& m_listener;
  Metrics& m_metrics;
  const PeerServerOptions m_options;
  ProbeReceiver m_probes;
  kj::Own<kj::ConnectionReceiver> m_acceptor;
  const std::shared_ptr<std::size_t> m_open_connections = std::make_shared<std::size_t>(0);
  kj::TaskSet m_tasks;
};

kj::Promise<void> CapnpPeerServer::Impl::Accept() {
  return m_acceptor->accept()
      .then([this](kj::Own<kj::AsyncIoStream> stream) { Serve(kj::mv(stream)); })
      .catch_([this](kj::Exception&&) {
        m_metrics.Count("peer_accept_failures");
        return m_io.provider->getTimer().afterDelay(kAcceptPause);
      })
      .then([this] { return Accept(); });
}

void CapnpPeerServer::Impl::Serve(kj::Own<kj::AsyncIoStream> stream) {
  if (*m_open_connections >= m_options.most_connections) {
    m_metrics.Count("peer_connections_refused");
    return;
  }
  auto authenticated = std::make_shared<bool>(false);
  auto gate = kj::heap<PeerGate>(m_authenticator, m_listener, m_metrics, authenticated);
  auto connection = kj::heap<ServedConnection>(kj::mv(stream), kj::mv(gate), m_open_connections,
                                               m_options.most_bytes_in_flight_per_connection);
  m_tasks.add(connection->network.onDisconnect()
                  .exclusiveJoin(AuthenticationLimit(std::move(authenticated)))
                  .attach(kj::mv(connection)));
}

kj::Promise<void> CapnpPeerServer::Impl::AuthenticationLimit(std::shared_ptr<bool> authenticated) {
  const auto limit = m_options.authentication_limit.count() * kj::NANOSECONDS;
  return m_io.provider->getTimer().afterDelay(limit).then(
      [authenticated = std::move(authenticated)]() -> kj::Promise<void> {
        if (*authenticated) {
          return kj::NEVER_DONE;
        }
        return kj::READY_NOW;
      });
}

Result<std::unique_ptr<CapnpPeerServer>> CapnpPeerServer::Listen(
    kj::AsyncIoContext& io,
    const NetworkAddress& address,
    std::shared_ptr<const PeerAuthenticator> authenticator,
    PeerListener& listener,
    Metrics& metrics,
    PeerServerOptions options) {
  auto sockets = PeerSockets::Bind(address);
  if (sockets.has_error()) {
    return sockets.error();
  }
  auto impl = std::make_unique<Impl>(io, kj::mv(*sockets), std::move(authenticator), listener,
                                     metrics, options);
  return std::unique_ptr<CapnpPeerServer>(new CapnpPeerServer(std::move(impl)));
}

CapnpPeerServer::CapnpPeerServer(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

CapnpPeerServer::~CapnpPeerServer() = default;

const NetworkAddress& CapnpPeerServer::address() const {
  return m_impl->address();
}

}  // namespace zinnia
