#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/configuration/configuration_keeper.h"
#include "zinnia_decisions/fleet_control/engine_poller.h"
#include "zinnia_decisions/fleet_control/leaving_tracker.h"
#include "zinnia_decisions/fleet_control/server_table.h"
#include "zinnia_decisions/fleet_control/snapshot_builder.h"
#include "zinnia_decisions/membership/gossip_host.h"
#include "zinnia_decisions/membership/gossip_membership.h"
#include "zinnia_decisions/ports/peer_transport.h"
#include "zinnia_decisions/ports/snapshot_source.h"
#include "zinnia_decisions/quarantine/crash_announcer.h"
#include "zinnia_decisions/quarantine/crash_quarantine.h"

namespace zinnia {

class DecisionRecorder;
class InstanceList;
class IntentHandler;
class Logger;
struct InFlightAtCrash;
struct ServerRatesReport;

struct InstanceControlSettings {
  MembershipSettings membership;
  QuarantineSettings quarantine;
  EnginePollSettings polls;
  Duration list_interval = std::chrono::seconds(2);
};

/** Dependencies of the control core, which must outlive it. */
struct InstanceControlPorts {
  Clock& clock;
  Scheduler& scheduler;
  PlatformStore& store;
  InstanceList& instance_list;
  PeerTransport& transport;
  EngineOrders& engines;
  DecisionRecorder& recorder;
  Logger& logger;
  std::uint64_t seed = 0;
};

/** Notified of each published snapshot, on the control thread. */
class SnapshotListener {
 public:
  virtual ~SnapshotListener() = default;
  virtual void OnSnapshot(std::shared_ptr<const FleetSnapshot> snapshot) = 0;
};

/** A live instance and its last reported configuration revision. */
struct InstanceRow {
  Instance instance;
  MemberState state = MemberState::kAlive;
  ConfigurationRevision revision = 0;
};

/** The control core of an instance: membership, configuration, leaving servers, quarantine, and the
    fleet snapshot used for routing.

    Only Current() and Quarantine() may be called on other threads than the control thread. Call
    SetIntentHandler before Start, and StopPlanned before a planned stop.

    @see GossipMembership, ConfigurationKeeper, LeavingTracker, CrashQuarantine, FleetSnapshot
*/
class InstanceControl final : public SnapshotSource,
                              public PeerListener,
                              private GossipHost,
                              private ConfigurationPublisher,
                              private ConfigurationListener,
                              private MembershipListener {
 public:
  /** Fails with kInvalidSettings, naming the missing field. */
  static Result<std::unique_ptr<InstanceControl>> Create(InstanceControlSettings settings,
                                                         InstanceControlPorts ports);
  ~InstanceControl() override;

  void Start();

  /** Announces to the other instances that this one leaves, then calls `callback`. Calls from peers
      are still answered until destruction; probes are neither sent nor answered. */
  void StopPlanned(std::function<void()> callback);

  void SetIntentHandler(IntentHandler* handler) { m_intent_handler = handler; }

  /** The latest snapshot, for routing. @see SnapshotListener */
  std::shared_ptr<const FleetSnapshot> Current() const override { return m_snapshot.load(); }
  std::shared_ptr<const QuarantineSnapshot> Quarantine() const {
    return m_quarantine_snapshot.load();
  }
  void AddSnapshotListener(SnapshotListener& listener);
  void RemoveSnapshotListener(SnapshotListener& listener);

  /** Whether callers can be served: a configuration is in force, the platform's list was read, and
      all engines were polled or the wait for them timed out. Never becomes false again.

      Without waiting for engines, a new instance refuses its first callers with kNoPipeline. */
  bool IsReady() const { return m_ready; }

  MembershipView& Membership() { return m_membership; }
  ConfigurationView& ConfigurationInForce() { return m_configuration; }
  void ChangeConfiguration(ConfigurationChange change, ConfigurationAcceptance::Callback callback);

  /** Reports the load that came with an engine's answer. */
  void ReportServerLoad(const BackendServerName& server,
                        std::uint32_t running,
                        std::uint32_t queued);

  /** Reports rates measured by the engine links. */
  void ReportServerRates(const BackendServerName& server, const ServerRatesReport& rates);

  /** Reports that an engine answered that it is leaving. */
  void ReportServerLeaving(const BackendServerName& server);

  /** Reports a server crash and this instance's requests that were in flight at the server. */
  void ReportServerCrash(const BackendServerName& server, const InFlightAtCrash& in_flight);

  /** As above; calls `on_peers_informed` when all live peers have acknowledged the report, or after
      CrashAnnouncer::kAcknowledgementTimeout. Those requests must not be retried earlier. */
  void ReportServerCrash(const BackendServerName& server,
                         const InFlightAtCrash& in_flight,
                         std::function<void()> on_peers_informed);

  /** @see CrashQuarantine::Claim */
  bool ClaimSuspect(const Fingerprint& fingerprint);
  void ReleaseSuspect(const Fingerprint& fingerprint) { m_quarantine.Release(fingerprint); }

  std::vector<InstanceRow> LiveInstanceRows() const;
  const LeavingTracker& LeavingServers() const { return m_leaving; }
  std::vector<QuarantineRow> QuarantineRows() const;
  bool IsStoreWatcher() const { return m_configuration.IsStoreWatcher(); }

  void OnProbe(const ProbeMessage& message) override;
  ConfigurationDelta OnFetchConfiguration(ConfigurationRevision after) override;
  void OnBeginIntent(IntentRequest request,
                     std::function<void(Result<IntentReply>)> reply) override;
  void OnReportOutcome(IntentOutcome outcome, std::function<void(Result<void>)> reply) override;

 private:
  InstanceControl(InstanceControlSettings settings, InstanceControlPorts ports);

  ConfigurationRevision OwnRevision() const override { return m_configuration.revision(); }
  void OnRumour(const Rumour& rumour, const Instance& sender) override;
  void OnPeerRevision(const Instance& peer, ConfigurationRevision revision) override;
  std::vector<Rumour> RumoursForNewMember() const override;
  std::vector<Rumour> RumoursForRepair(std::size_t room) override;
  void PublishDelta(const ConfigurationDelta& delta, bool originated_here) override;
  void PublishRevision() override;
  void OnConfigurationChanged(const Configuration& configuration) override;
  void OnMembershipChanged() override;

  void ReadList();
  void OnListing(const Result<InstanceListing>& listing);
  void OnEngineAnswer(const BackendServerName& server, const Result<EngineState>& state);
  void MarkLeaving(const BackendServerName& server,
                   std::uint64_t incarnation,
                   LeavingSource source);
  std::vector<CrashRumour> CrashRumours(const BackendServerName& server,
                                        const InFlightAtCrash& in_flight) const;
  void ApplyCrash(const CrashRumour& rumour, bool originated_here);
  void TickQuarantine();
  void PublishQuarantine();
  bool SubsetDependsOn(const Configuration& configuration) const;
  void ChooseSubset();
  Duration ListInterval() const;
  Duration LoadSnapshotDelay() const;
  void RequestSnapshot(Duration within);
  void PublishSnapshot();
  void UpdateReadiness();

  const InstanceControlSettings m_settings;
  InstanceControlPorts m_ports;
  GossipMembership m_membership;
  ConfigurationKeeper m_configuration;
  LeavingTracker m_leaving;
  CrashQuarantine m_quarantine;
  CrashAnnouncer m_crash_announcer;
  ServerTable m_servers;
  EnginePoller m_poller;
  SnapshotBuilder m_builder;
  IntentHandler* m_intent_handler = nullptr;

  bool m_list_was_read = false;
  std::optional<TimePoint> m_engine_wait_started;
  bool m_ready = false;
  std::size_t m_repair_turn = 0;
  std::set<BackendServerName> m_subset;
  std::shared_ptr<const Configuration> m_subset_configuration;
  std::vector<SnapshotListener*> m_snapshot_listeners;
  std::atomic<std::shared_ptr<const FleetSnapshot>> m_snapshot;
  std::atomic<std::shared_ptr<const QuarantineSnapshot>> m_quarantine_snapshot;

  TimePoint m_snapshot_due{};
  std::unique_ptr<ScheduledCall> m_snapshot_call;
  std::unique_ptr<ScheduledCall> m_list_call;
  std::unique_ptr<ScheduledCall> m_quarantine_call;
  CallbackGuard m_guard;
};

}  // namespace zinnia
