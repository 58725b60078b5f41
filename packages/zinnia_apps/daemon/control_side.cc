#include "control_side.h"

#include <optional>
#include <utility>

#include "zinnia_adapters/http/http_client.h"
#include "zinnia_adapters/peers/capnp_peer_server.h"
#include "zinnia_adapters/peers/capnp_peer_transport.h"
#include "zinnia_adapters/peers/peer_authenticator.h"
#include "zinnia_adapters/platform/http_engine_orders.h"
#include "zinnia_adapters/platform/http_instance_list.h"
#include "zinnia_adapters/platform/http_platform_store.h"
#include "zinnia_adapters/threads/control_thread.h"
#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/control/instance_control.h"
#include "zinnia_decisions/once/once_coordinator.h"
#include "zinnia_decisions/once/once_parts.h"
#include "zinnia_decisions/once/once_settings.h"
#include "zinnia_decisions/orders/pool_reconcilers.h"

namespace zinnia {
namespace {

constexpr std::chrono::seconds kStoreTimeLimit{2};
constexpr std::chrono::seconds kListTimeLimit{2};
constexpr std::chrono::seconds kEngineTimeLimit{2};

Instance DescribeSelf(const InstanceSettings& settings, std::uint64_t start) {
  Instance self;
  self.name = settings.instance;
  self.peer_address = settings.peer_address;
  self.failure_domain = settings.failure_domain;
  self.region = settings.region;
  self.start = start;
  return self;
}

/** The address of a server as the newest snapshot has it. */
std::optional<NetworkAddress> FindAddress(const InstanceControl* control,
                                          const BackendServerName& server) {
  const auto snapshot = control->Current();
  const auto found = snapshot->servers.find(server);
  if (found == snapshot->servers.end()) {
    return std::nullopt;
  }
  return found->second.server.address;
}

}  // namespace

ControlSide::ControlSide(ControlThread& thread, const ControlSideParts& parts) : m_parts(parts) {
  const InstanceSettings& settings = parts.settings;
  const std::uint64_t seed = Hash64(settings.instance, parts.start);
  m_client = std::make_shared<HttpClient>(parts.clock, thread.Poster(), HttpClientOptions{});
  m_store =
      std::make_unique<HttpPlatformStore>(m_client, settings.store_addresses, kStoreTimeLimit);
  m_instance_list =
      std::make_unique<HttpInstanceList>(m_client, settings.instance_list_address, kListTimeLimit);
  m_engine_orders = std::make_unique<HttpEngineOrders>(
      m_client, thread.Poster(),
      [this](const BackendServerName& server) { return FindAddress(m_control.get(), server); },
      kEngineTimeLimit);
  const auto authenticator = std::make_shared<PeerAuthenticator>(parts.cluster_secret);
  PeerTransportOptions transport_options;
  transport_options.backoff_seed = seed;
  m_peers = std::make_unique<CapnpPeerTransport>(thread.Io(), parts.clock, thread, authenticator,
                                                 parts.metrics, transport_options);

  InstanceControlSettings control_settings;
  control_settings.membership.self = DescribeSelf(settings, parts.start);
  control_settings.membership.seeds = settings.seeds;
  m_control = InstanceControl::Create(std::move(control_settings),
                                      {parts.clock, thread, *m_store, *m_instance_list, *m_peers,
                                       *m_engine_orders, parts.recorder, parts.logger, seed})
                  .value();
  m_once = OnceCoordinator::Create(
               {parts.clock, thread, *m_store, *m_peers, m_control->Membership(), parts.recorder},
               OnceSettings{}, seed)
               .value();
  m_control->SetIntentHandler(m_once.get());
  m_reconcilers = PoolReconcilers::Create(
                      {parts.clock, thread, *m_store, m_control->Membership(), parts.recorder},
                      *m_engine_orders, *m_control, OrderSettings{})
                      .value();
  m_peer_server = CapnpPeerServer::Listen(thread.Io(), settings.peer_address, authenticator,
                                          *m_control, parts.metrics)
                      .value();
  m_control->Start();
  m_once->Start();
}

ControlSide::~ControlSide() {
  m_peer_server.reset();
  m_control->SetIntentHandler(nullptr);
  m_reconcilers.reset();
  m_once.reset();
  m_control.reset();
}

OnceGate* ControlSide::Gate() {
  return m_once.get();
}

void ControlSide::OnSnapshot(const FleetSnapshot& snapshot) {
  m_reconcilers->OnSnapshot(snapshot);
}

void ControlSide::StopPlanned(std::function<void()> done) {
  m_reconcilers->Stop();
  m_once->HandOver(
      [this, done = std::move(done)]() mutable { m_control->StopPlanned(std::move(done)); });
}

void ControlSide::LogServer(const char* event, const std::string& server) {
  m_parts.logger.Log(LogLevel::kWarning, event, {{"backend_server", server}});
}

}  // namespace zinnia
