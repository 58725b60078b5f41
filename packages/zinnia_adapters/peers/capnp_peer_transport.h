#pragma once

#include <cstdint>
#include <memory>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/ports/peer_transport.h"

namespace kj {
struct AsyncIoContext;
}

namespace zinnia {

class Metrics;
class PeerAuthenticator;
class Scheduler;

/** Bounds of CapnpPeerTransport. `call_limit` covers a whole call, connecting included. */
struct PeerTransportOptions {
  Duration call_limit = std::chrono::seconds(3);
  Duration connect_limit = std::chrono::seconds(2);
  Duration first_backoff = std::chrono::milliseconds(50);
  Duration longest_backoff = std::chrono::seconds(5);
  Duration idle_limit = std::chrono::seconds(60);
  std::uint64_t backoff_seed = 1;
};

/** The way to the other instances: probes as UDP datagrams, calls by Cap'n Proto RPC over TCP.

    Lives on the control thread: create, use and destroy it there. A call fails with
    kPeerUnavailable only if nothing of it was sent; once it was, everything but an answer is
    kOutcomeUnknown. An Error that the peer's listener gave arrives as it was. Calls in flight when
    the transport is destroyed are dropped without a callback.

    @see CapnpPeerServer, PeerAuthenticator, ControlThread
*/
class CapnpPeerTransport final : public PeerTransport {
 public:
  CapnpPeerTransport(kj::AsyncIoContext& io,
                     const Clock& clock,
                     Scheduler& scheduler,
                     std::shared_ptr<const PeerAuthenticator> authenticator,
                     Metrics& metrics,
                     PeerTransportOptions options);
  ~CapnpPeerTransport() override;

  void SendProbe(const NetworkAddress& to, const ProbeMessage& message) override;
  void FetchConfiguration(const NetworkAddress& from,
                          ConfigurationRevision after,
                          std::function<void(Result<ConfigurationDelta>)> callback) override;
  void BeginIntent(const NetworkAddress& holder,
                   IntentRequest request,
                   std::function<void(Result<IntentReply>)> callback) override;
  void ReportOutcome(const NetworkAddress& holder,
                     IntentOutcome outcome,
                     std::function<void(Result<void>)> callback) override;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace zinnia
