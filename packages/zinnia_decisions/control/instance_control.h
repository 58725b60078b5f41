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

/** Settings of the control core. */
struct InstanceControlSettings {
  MembershipSettings membership;
  QuarantineSettings quarantine;
  EnginePollSettings polls;
  Duration list_interval = std::chrono::seconds(2);
};

/** The outside world of the control core. All must outlive it. */
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

/** Hears of each newly published snapshot. Called on the control thread. */
class SnapshotListener {
 public:
  virtual ~SnapshotListener() = default;
  virtual void OnSnapshot(std::shared_ptr<const FleetSnapshot> snapshot) = 0;
};

/** A live instance with the revision that it told last. */
struct InstanceRow {
  Instance instance;
  MemberState state = MemberState::kAlive;
  ConfigurationRevision revision = 0;
};

/** The control core of an instance: membership, configuration, leaving servers, quarantine, and the
    fleet snapshot that traffic works from.

    Everything but Current() and Quarantine() belongs to the control thread; traffic threads post
    their reports to it. Create, SetIntentHandler, Start; StopPlanned before a planned stop.

    @see GossipMembership, ConfigurationKeeper, LeavingTracker, CrashQuarantine, FleetSnapshot
*/
class InstanceControl final : public SnapshotSource,
                              public PeerListener,
                              private GossipHost,
                              private ConfigurationSpreader,
                              private ConfigurationListener,
                              private MembershipListener {
 public:
  /** Fails with kInvalidSettings naming the field. */
  static Result<std::unique_ptr<InstanceControl>> Create(InstanceControlSettings settings,
                                                         InstanceControlPorts ports);
  ~InstanceControl() override;

  void Start();

  /** Tells the other instances that this one leaves, then calls back. It answers peers until it is
      destroyed, but sends nothing more. */
  void StopPlanned(std::function<void()> callback);

  void SetIntentHandler(IntentHandler* handler) { m_intent_handler = handler; }

  /** The picture to route by. @see SnapshotListener */
  std::shared_ptr<const FleetSnapshot> Current() const override { return m_snapshot.load(); }
  std::shared_ptr<const QuarantineSnapshot> Quarantine() const {
    return m_quarantine_picture.load();
  }
  void AddSnapshotListener(SnapshotListener& listener);
  void RemoveSnapshotListener(SnapshotListener& listener);

  /** Whether callers can be served: a configuration is in force, the platform's list was read, and
      the engines have told what they hold (or had ten seconds to). Stays true once it was.

      Without the last, a new instance refuses its first callers with kNoPipeline, though all others
      could serve them. */
  bool IsReady() const { return m_ready; }

  MembershipView& Membership() { return m_membership; }
  ConfigurationView& ConfigurationInForce() { return m_configuration; }
  void ChangeConfiguration(ConfigurationChange change, ConfigurationAcceptance::Callback callback);

  /** An engine's answer told its load. */
  void ReportServerLoad(const BackendServerName& server,
                        std::uint32_t running,
                        std::uint32_t queued);

  /** The links measured how fast a server is. */
  void ReportServerRates(const BackendServerName& server, const ServerRatesReport& rates);

  /** An engine answered that it is leaving. */
  void ReportServerLeaving(const BackendServerName& server);

  /** A server crashed while these requests of this instance were in flight at it. */
  void ReportServerCrash(const BackendServerName& server, const InFlightAtCrash& in_flight);

  /** The same, and says when the live peers know, or after CrashAnnouncer::kAcknowledgementTimeout.
     Only then may one of those requests be tried again. */
  void ReportServerCrash(const BackendServerName& server,
                         const InFlightAtCrash& in_flight,
                         std::function<void()> peers_know);

  /** @see CrashQuarantine::Claim */
  bool ClaimSuspect(const Fingerprint& fingerprint);
  void ReleaseSuspect(const Fingerprint& fingerprint) { m_quarantine.Release(fingerprint); }

  std::vector<InstanceRow> LiveInstanceRows() const;
  const LeavingTracker& LeavingServers() const { return m_leaving; }
  std::vector<QuarantineRow> QuarantineRows() const;
  bool HoldsConfigurationWatch() const { return m_configuration.HoldsWatch(); }

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
  std::vector<Rumour> RumoursForNewcomer() const override;
  std::vector<Rumour> RumoursForRepair(std::size_t room) override;
  void SpreadDelta(const ConfigurationDelta& delta, bool first_hand) override;
  void SpreadRevision() override;
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
  void TakeCrash(const CrashRumour& rumour, bool first_hand);
  void TickQuarantine();
  void PublishQuarantine();
  bool SubsetDependsOn(const Configuration& configuration) const;
  void ChooseSubset();
  Duration ListInterval() const;
  Duration PublishLoadsWithin() const;
  void WantSnapshot(Duration within);
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
  std::optional<TimePoint> m_waits_for_engines_since;
  bool m_ready = false;
  std::size_t m_repair_turn = 0;
  std::set<BackendServerName> m_subset;
  std::shared_ptr<const Configuration> m_subset_configuration;
  std::vector<SnapshotListener*> m_snapshot_listeners;
  std::atomic<std::shared_ptr<const FleetSnapshot>> m_snapshot;
  std::atomic<std::shared_ptr<const QuarantineSnapshot>> m_quarantine_picture;

  TimePoint m_snapshot_due{};
  std::unique_ptr<ScheduledCall> m_snapshot_call;
  std::unique_ptr<ScheduledCall> m_list_call;
  std::unique_ptr<ScheduledCall> m_quarantine_call;
  CallbackGuard m_guard;
};

}  // namespace zinnia
