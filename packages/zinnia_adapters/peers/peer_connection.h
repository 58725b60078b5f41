#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <memory>

#include "zinnia_adapters/peers/peer.capnp.h"

namespace zinnia {

class PeerAuthenticator;

/** The calling end of a connection to a peer, on which both ends have proved the secret. */
class PeerConnection {
 public:
  /** Connects and authenticates. The promise breaks if either fails; nothing that the listener at
      the other end would notice has been sent by then. */
  static kj::Promise<std::shared_ptr<PeerConnection>> Open(
      kj::Own<kj::NetworkAddress> address,
      std::shared_ptr<const PeerAuthenticator> authenticator);

  explicit PeerConnection(kj::Own<kj::AsyncIoStream> stream);

  wire::Peer::Client& peer() { return m_peer; }

  /** Whether the other end is known to have closed. Asks the socket itself, because kj only learns
      of it on its next turn, and a call sent in between would end as kOutcomeUnknown. */
  bool IsClosed();

 private:
  kj::Promise<void> Authenticate(const std::shared_ptr<const PeerAuthenticator>& authenticator);

  kj::Own<kj::AsyncIoStream> m_stream;
  capnp::TwoPartyVatNetwork m_network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
  wire::Peer::Client m_peer;
};

}  // namespace zinnia
