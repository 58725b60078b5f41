#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "zinnia_base/time/clock.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/forwarding/limits/recent_instances.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/instance_directory.h"
#include "zinnia_decisions/forwarding/observed_state/instance_registration.h"
#include "zinnia_decisions/forwarding/observed_state/quarantine_records.h"
#include "zinnia_decisions/forwarding/observed_state/report_exchange.h"
#include "zinnia_decisions/forwarding/observed_state/server_directory.h"
#include "zinnia_decisions/forwarding/observed_state/store_era_tracker.h"
#include "zinnia_decisions/forwarding/observed_state/store_mirror.h"
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
  ReportTransport& report_transport;
  LayerOrders& layer_orders;
  DecisionRecorder& recorder;
  Logger& logger;
  ReportSink& sink;
  Instance self;
  std::vector<NetworkAddress> seeds;

  /** Whether engines refuse orders with an outdated fencing token. */
  bool engines_check_fencing = true;
};

/** The control state of a forwarding instance: records of the store, live instances and the
    placement of layers. Publishes a new ForwardingView at each change. Belongs to the control
    thread. */
class ForwardingControl final : private MirrorListener {
 public:
  using Publish = std::function<void(std::shared_ptr<const ForwardingView>)>;

  ForwardingControl(ForwardingControlParts parts, Publish publish);
  ~ForwardingControl() override;

  void Start();

  /** Releases the order roles and removes this instance's record. */
  void Stop();

  ReportExchange& Reports() { return m_reports; }

  /** Called when this instance or a peer finds that a server has stalled. */
  void OnServerStalled(const BackendServerName& server);

  /** Handles a server's state as reported to this instance or to a peer. It may be newer than the
      server's entry while the store is unavailable. */
  void OnServerStateReport(const ServerStateReport& report);

  /** A request was found to crash servers, here or by a peer. One instance of the fleet records it
     in the store. */
  void OnQuarantined(const QuarantineReport& quarantine);

  /** Requests turned out not to crash servers. Their records are removed. */
  void OnCleared(const std::vector<ClearedRequest>& requests);

 private:
  void OnMirroredRecord(const MirroredRecord& record, RecordOrigin origin) override;
  void OnMirrorAdvanced() override;
  void OnRules(const MirroredRecord& record);
  void OnServer(const std::string& registration, const MirroredRecord& record, RecordOrigin origin);
  void RemoveServer(const std::string& registration, bool is_older_copy);
  void LogDeparture(const std::string& registration,
                    const MirroredRecord& record,
                    std::string_view notice) const;
  bool LayersFitModel(const ServerEntry& server) const;
  void OnInstance(const MirroredRecord& record, RecordOrigin origin);

  /** Another writer has left a value under the record's key that is none of ours. */
  void LogUnreadable(std::string_view event, const MirroredRecord& record) const;
  void OnQuarantineRecord(const MirroredRecord& record);
  bool IsStoreSteady() const;
  void OnStoreEraChanged(StoreEra era);
  void PublishView();
  void Tick();
  StoreWatchRole ReadingFor(bool is_placer) const;
  void SetReading(StoreWatchRole reading);
  bool MayAcquireOrderRole(const ServiceName& service);
  void UpdatePlacers();

  const ForwardingControlParts m_parts;
  const StoreMirrorSettings m_mirror_settings;
  const Publish m_publish;
  InstanceDirectory m_instances;
  RecentInstances m_recent_instances;
  StoreEraTracker m_store_era;
  StoreMirror m_mirror;
  ServerDirectory m_servers;
  InstanceRegistration m_registration;
  QuarantineRecords m_quarantine_records;
  ReportExchange m_reports;
  std::map<ServiceName, std::unique_ptr<LayerPlacer>> m_placers;

  /** Since when no instance holds the order role of a service. */
  std::map<ServiceName, TimePoint> m_order_lease_free_since;
  std::shared_ptr<const ForwardingRules> m_rules;
  ConfigurationInForce m_configuration;
  std::shared_ptr<const RouteTable> m_routes;
  std::shared_ptr<const ServiceClasses> m_classes;
  std::shared_ptr<const ForwardingView> m_view;
  std::unique_ptr<ScheduledCall> m_timer;
  std::uint64_t m_ticks = 0;
  StoreWatchRole m_reading = StoreWatchRole::kStoreWatcher;
};

}  // namespace zinnia
