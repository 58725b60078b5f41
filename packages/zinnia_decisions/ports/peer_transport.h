#pragma once

#include <functional>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/ports/peer_messages.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

/** Sends messages to other instances. Probes are datagrams that may be lost, duplicated or
    reordered. Calls complete exactly once (kPeerUnavailable: not delivered; kOutcomeUnknown: the
    response was lost). Callbacks run asynchronously on the control thread.

    @see PeerListener
*/
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  virtual void SendProbe(const NetworkAddress& to, const ProbeMessage& message) = 0;

  virtual void FetchConfiguration(const NetworkAddress& from,
                                  ConfigurationRevision after,
                                  std::function<void(Result<ConfigurationDelta>)> callback) = 0;

  virtual void BeginIntent(const NetworkAddress& holder,
                           IntentRequest request,
                           std::function<void(Result<IntentReply>)> callback) = 0;

  virtual void ReportOutcome(const NetworkAddress& holder,
                             IntentOutcome outcome,
                             std::function<void(Result<void>)> callback) = 0;
};

/** Handles messages from peers. Called on the control thread. */
class PeerListener {
 public:
  virtual ~PeerListener() = default;

  virtual void OnProbe(const ProbeMessage& message) = 0;
  virtual ConfigurationDelta OnFetchConfiguration(ConfigurationRevision after) = 0;
  virtual void OnBeginIntent(IntentRequest request,
                             std::function<void(Result<IntentReply>)> reply) = 0;
  virtual void OnReportOutcome(IntentOutcome outcome, std::function<void(Result<void>)> reply) = 0;
};

}  // namespace zinnia
