#pragma once

#include <memory>

#include "zinnia_adapters/peers/peer.capnp.h"
#include "zinnia_adapters/peers/peer_authenticator.h"

namespace zinnia {

class Metrics;
class PeerListener;

/** Answers the calls of an authenticated peer by asking the listener. */
class PeerService final : public wire::Peer::Server {
 public:
  explicit PeerService(PeerListener& listener) : m_listener(listener) {}

 protected:
  kj::Promise<void> fetchConfiguration(FetchConfigurationContext context) override;
  kj::Promise<void> beginIntent(BeginIntentContext context) override;
  kj::Promise<void> reportOutcome(ReportOutcomeContext context) override;

 private:
  PeerListener& m_listener;
};

/** What a connection can do before it has proved that it belongs to the cluster: just that. Each
    connection gets a nonce of its own, so that a recorded proof opens no other connection. */
class PeerGate final : public wire::Gate::Server {
 public:
  /** `authenticated` is set when the proof was right. */
  PeerGate(std::shared_ptr<const PeerAuthenticator> authenticator,
           PeerListener& listener,
           Metrics& metrics,
           std::shared_ptr<bool> authenticated);

 protected:
  kj::Promise<void> challenge(ChallengeContext context) override;
  kj::Promise<void> authenticate(AuthenticateContext context) override;

 private:
  const std::shared_ptr<const PeerAuthenticator> m_authenticator;
  PeerListener& m_listener;
  Metrics& m_metrics;
  const std::shared_ptr<bool> m_authenticated;
  const std::string m_nonce;
};

}  // namespace zinnia
