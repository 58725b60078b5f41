#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "zinnia_base/time/clock.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/forwarding/beliefs/forwarding_view.h"
#include "zinnia_decisions/forwarding/beliefs/instance_directory.h"
#include "zinnia_decisions/forwarding/beliefs/instance_registration.h"
#include "zinnia_decisions/forwarding/beliefs/report_exchange.h"
#include "zinnia_decisions/forwarding/beliefs/server_directory.h"
#include "zinnia_decisions/forwarding/beliefs/store_mirror.h"
#include "zinnia_decisions/forwarding/limits/recent_instances.h"
#include "zinnia_decisions/orders/order_role.h"

namespace zinnia {

class DecisionRecorder;
class LayerOrders;
class LayerPlacer;
class Logger;
class ReportTransport;
class PlatformStore;
class RecordReader;

/** The ports and settings of a ForwardingControl. All references must outlive it. */
struct ForwardingControlParts {
  Clock& clock;
  Scheduler& scheduler;
  PlatformStore& store;
  const RecordReader& reader;
  ReportTransport& news;
  LayerOrders& layer_orders;
  DecisionRecorder& recorder;
  Logger& logger;
  ReportSink& sink;
  Instance self;
  std::vector<NetworkAddress> seeds;

  /** Whether engines refuse orders with an old fencing number. */
  bool engines_check_fencing = true;
};

/** The control state of a forwarding instance: what the store says, who lives, which layers are
    placed where. Publishes a new ForwardingView at each change. Lives on the control thread. */
class ForwardingControl final : private MirrorListener {
 public:
  using Publish = std::function<void(std::shared_ptr<const ForwardingView>)>;

  ForwardingControl(ForwardingControlParts parts, Publish publish);
  ~ForwardingControl() override;

  void Start();

  /** Gives up the roles and this instance's record. */
  void Stop();

  ReportExchange& News() { return m_news; }

  /** Traffic, here or at a peer, found that a server does not go on. */
  void NoteStalled(const BackendServerName& server);

  /** A server said, here or to a peer, which layers it holds. Its entry may be old: the store may
     be away. */
  void NoteServerNews(const ServerStateReport& news);

 private:
  void OnMirroredRecord(const MirroredRecord& record) override;
  void OnMirrorAdvanced() override;
  void OnRules(const MirroredRecord& record);
  void OnServer(const std::string& registration, const MirroredRecord& record);
  bool FitsItsService(const ServerEntry& server) const;
  void OnInstance(const MirroredRecord& record);
  bool StoreIsSteady() const;
  void PublishView();
  void Tick();
  StoreWatchRole ReadingFor(bool is_placer) const;
  void SetReading(StoreWatchRole reading);
  bool MaySeekOrders(const ServiceName& service);
  void UpdatePlacers();

  const ForwardingControlParts m_parts;
  const Publish m_publish;
  InstanceDirectory m_instances;
  RecentInstances m_recent_instances;
  StoreMirror m_mirror;
  ServerDirectory m_servers;
  InstanceRegistration m_registration;
  ReportExchange m_news;
  std::map<ServiceName, std::unique_ptr<LayerPlacer>> m_placers;

  /** Since when nobody holds the right to give a pool orders. */
  std::map<ServiceName, TimePoint> m_orders_free_since;
  std::shared_ptr<const ForwardingRules> m_rules;
  std::shared_ptr<const RouteTable> m_routes;
  std::shared_ptr<const ForwardingView> m_view;
  std::unique_ptr<ScheduledCall> m_timer;
  std::uint64_t m_ticks = 0;
  StoreWatchRole m_reading = StoreWatchRole::kStoreWatcher;
};

}  // namespace zinnia
