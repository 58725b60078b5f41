#include "zinnia_adapters/peers/peer_connection.h"

#include <sys/socket.h>

#include <cerrno>
#include <string>
#include <utility>

#include "zinnia_adapters/peers/peer_authenticator.h"
#include "zinnia_adapters/peers/peer_limits.h"
#include "zinnia_adapters/peers/wire_text.h"

namespace zinnia {

using Purpose = PeerAuthenticator::Purpose;

namespace {

constexpr int kNoDescriptor = -1;

/** A stray process at a peer's address must not be able to grant intents. */
void RequireProof(const PeerAuthenticator& authenticator,
                  const std::string& nonces,
                  const std::string& proof) {
  KJ_REQUIRE(authenticator.Matches(Purpose::kAnswerer, nonces, proof),
             "the peer does not know the cluster secret");
}

}  // namespace

PeerConnection::PeerConnection(kj::Own<kj::AsyncIoStream> stream)
    : m_stream(kj::mv(stream)),
      m_network(*m_stream, capnp::rpc::twoparty::Side::CLIENT, PeerCallLimits()),
      m_rpc(capnp::makeRpcClient(m_network)),
      m_peer(nullptr) {}

kj::Promise<std::shared_ptr<PeerConnection>> PeerConnection::Open(
    kj::Own<kj::NetworkAddress> address,
    std::shared_ptr<const PeerAuthenticator> authenticator) {
  auto connecting = address->connect();
  return connecting.attach(kj::mv(address))
      .then([authenticator = std::move(authenticator)](kj::Own<kj::AsyncIoStream> stream) {
        auto connection = std::make_shared<PeerConnection>(kj::mv(stream));
        return connection->Authenticate(authenticator).then([connection] { return connection; });
      });
}

kj::Promise<void> PeerConnection::Authenticate(
    const std::shared_ptr<const PeerAuthenticator>& authenticator) {
  capnp::MallocMessageBuilder vat_message;
  auto vat = vat_message.initRoot<capnp::rpc::twoparty::VatId>();
  vat.setSide(capnp::rpc::twoparty::Side::SERVER);
  auto gate = m_rpc.bootstrap(vat).castAs<wire::Gate>();
  const std::string own_nonce = PeerAuthenticator::MakeNonce();
  return gate.challengeRequest()
      .send()
      .then([gate, own_nonce, authenticator](auto&& challenge) mutable {
        const std::string nonces = FromWireData(challenge.getServerNonce()) + own_nonce;
        auto request = gate.authenticateRequest();
        request.setClientNonce(ToWireData(own_nonce));
        request.setProof(ToWireData(authenticator->CodeFor(Purpose::kCaller, nonces)));
        return request.send().then([nonces, authenticator](auto&& answer) {
          RequireProof(*authenticator, nonces, FromWireData(answer.getProof()));
          return answer.getPeer();
        });
      })
      .then([this](wire::Peer::Client peer) { m_peer = kj::mv(peer); });
}

bool PeerConnection::IsClosed() {
  const int descriptor = m_stream->getFd().orDefault(kNoDescriptor);
  if (descriptor == kNoDescriptor) {
    return false;
  }
  char byte = 0;
  const auto count = recv(descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace zinnia
