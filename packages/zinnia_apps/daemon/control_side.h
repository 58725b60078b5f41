#pragma once

#include <functional>
#include <memory>
#include <string>

#include "zinnia_adapters/settings/instance_settings.h"
#include "zinnia_base/errors/result.h"
#include "zinnia_world/fleet/fleet_snapshot.h"

namespace zinnia {

class CapnpPeerServer;
class CapnpPeerTransport;
class Clock;
class ControlThread;
class DecisionRecorder;
class HttpClient;
class HttpEngineOrders;
class HttpInstanceList;
class HttpPlatformStore;
class InstanceControl;
class Logger;
class Metrics;
class OnceCoordinator;
class OnceGate;
class PoolReconcilers;

/** What the control side is made with. All references must outlive it. */
struct ControlSideParts {
  const InstanceSettings& settings;
  const std::string& cluster_secret;
  std::uint64_t start;
  Clock& clock;
  Metrics& metrics;
  Logger& logger;
  DecisionRecorder& recorder;
};

/** Everything that lives on the control thread: the control core, the at-most-once coordinator, the
    reconcilers of engines, and their links to peers and platform.

    Create, use and destroy it on the control thread. Control().Current() and Control().Quarantine()
    may be called from any thread.
*/
class ControlSide {
 public:
  /** Throws ErrorException with kInvalidSettings if the settings cannot be used. */
  ControlSide(ControlThread& thread, const ControlSideParts& parts);
  ~ControlSide();

  InstanceControl& Control() { return *m_control; }
  OnceGate* Gate();
  OnceCoordinator& Once() { return *m_once; }

  /** Hands over what this instance holds and tells its peers that it leaves, then calls back. */
  void StopPlanned(std::function<void()> done);

  /** Tell it each new snapshot. */
  void OnSnapshot(const FleetSnapshot& snapshot);

  void LogServer(const char* event, const std::string& server);

 private:
  const ControlSideParts m_parts;
  std::shared_ptr<HttpClient> m_client;
  std::unique_ptr<HttpPlatformStore> m_store;
  std::unique_ptr<HttpInstanceList> m_instance_list;
  std::unique_ptr<HttpEngineOrders> m_engine_orders;
  std::unique_ptr<CapnpPeerTransport> m_peers;
  std::unique_ptr<InstanceControl> m_control;
  std::unique_ptr<OnceCoordinator> m_once;
  std::unique_ptr<PoolReconcilers> m_reconcilers;
  std::unique_ptr<CapnpPeerServer> m_peer_server;
};

}  // namespace zinnia
