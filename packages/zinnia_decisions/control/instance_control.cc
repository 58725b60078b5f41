#include "zinnia_decisions/control/instance_control.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/fleet_control/subset_selection.h"
#include "zinnia_decisions/membership/message_size.h"
#include "zinnia_decisions/once/intent_handler.h"
#include "zinnia_decisions/ports/in_flight_at_crash.h"

namespace zinnia {
namespace {

constexpr Duration kSnapshotDelay = std::chrono::milliseconds(50);
constexpr Duration kLoadSnapshotDelay = std::chrono::milliseconds(250);
constexpr Duration kLoadSnapshotDelayPerServer = std::chrono::microseconds(500);
constexpr Duration kListIntervalPerServer = std::chrono::microseconds(500);
constexpr Duration kListIntervalPerInstance = std::chrono::milliseconds(20);
constexpr Duration kEngineWaitTimeout = std::chrono::seconds(10);
constexpr Duration kReadinessInterval = std::chrono::milliseconds(250);
constexpr Duration kQuarantineTick = std::chrono::seconds(1);
constexpr std::size_t kFingerprintsInRumour = 40;
constexpr std::size_t kMaxInitialRumours = 512;

Result<void> CheckSettings(const InstanceControlSettings& settings) {
  const Instance& self = settings.membership.self;
  const auto missing = [](const std::string& field) {
    return MakeError(ErrorKind::kInvalidSettings, field + " is missing");
  };
  if (self.name.empty()) {
    return missing("instance name");
  }
  if (self.failure_domain.empty()) {
    return missing("failure_domain");
  }
  if (self.peer_address.port == 0) {
    return missing("peer_address");
  }
  return {};
}

}  // namespace

Result<std::unique_ptr<InstanceControl>> InstanceControl::Create(InstanceControlSettings settings,
                                                                 InstanceControlPorts ports) {
  const Result<void> checked = CheckSettings(settings);
  if (!checked) {
    return checked.error();
  }
  return std::unique_ptr<InstanceControl>(new InstanceControl(std::move(settings), ports));
}

InstanceControl::InstanceControl(InstanceControlSettings settings, InstanceControlPorts ports)
    : m_settings(std::move(settings)),
      m_ports(ports),
      m_membership(m_settings.membership,
                   ports.clock,
                   ports.scheduler,
                   ports.transport,
                   *this,
                   ports.seed),
      m_configuration({ports.clock, ports.scheduler, ports.store, ports.transport, m_membership,
                       *this, ports.recorder, ports.logger},
                      ports.seed + 1),
      m_quarantine(m_settings.quarantine),
      m_crash_announcer(m_membership, ports.scheduler),
      m_poller(m_settings.polls,
               ports.scheduler,
               ports.engines,
               [this](const BackendServerName& server, const Result<EngineState>& state) {
                 OnEngineAnswer(server, state);
               }),
      m_snapshot(std::make_shared<const FleetSnapshot>(
          FleetSnapshot{.own_failure_domain = m_settings.membership.self.failure_domain,
                        .configuration = std::make_shared<const Configuration>()})),
      m_quarantine_snapshot(std::make_shared<const QuarantineSnapshot>()) {
  m_membership.AddListener(*this);
  m_configuration.AddListener(*this);
}

InstanceControl::~InstanceControl() {
  m_configuration.RemoveListener(*this);
  m_membership.RemoveListener(*this);
}

void InstanceControl::Start() {
  m_quarantine.SetInstances(m_membership.Self().name, m_membership.LiveInstances());
  m_membership.Start();
  m_configuration.Start();
  m_poller.Start();
  ReadList();
  TickQuarantine();
}

void InstanceControl::StopPlanned(std::function<void()> callback) {
  m_ports.logger.Log(LogLevel::kInfo, "instance_leaves", {});
  m_membership.Leave(std::move(callback));
}

void InstanceControl::AddSnapshotListener(SnapshotListener& listener) {
  m_snapshot_listeners.push_back(&listener);
}

void InstanceControl::RemoveSnapshotListener(SnapshotListener& listener) {
  std::erase(m_snapshot_listeners, &listener);
}

void InstanceControl::ChangeConfiguration(ConfigurationChange change,
                                          ConfigurationAcceptance::Callback callback) {
  m_configuration.Change(std::move(change), std::move(callback));
}

void InstanceControl::ReadList() {
  m_list_call = m_ports.scheduler.ScheduleAfter(ListInterval(), [this] { ReadList(); });
  m_ports.instance_list.Read(
      m_guard.Wrap([this](const Result<InstanceListing>& listing) { OnListing(listing); }));
}

// Bounds the fleet's total rate of list reads: changes found by one instance are sent to the
// others.
Duration InstanceControl::ListInterval() const {
  const auto live = static_cast<std::int64_t>(m_membership.table().LiveCount() + 1);
  const auto servers = static_cast<std::int64_t>(m_servers.rows().size());
  return std::max({m_settings.list_interval, kListIntervalPerInstance * live,
                   kListIntervalPerServer * servers});
}

Duration InstanceControl::LoadSnapshotDelay() const {
  return kLoadSnapshotDelay +
         kLoadSnapshotDelayPerServer * static_cast<std::int64_t>(m_subset.size());
}

void InstanceControl::OnListing(const Result<InstanceListing>& listing) {
  if (!listing) {
    m_ports.logger.Log(LogLevel::kWarning, "instance_list_unreadable",
                       {{"error", Describe(listing.error())}});
    return;
  }
  if (!listing->faults.empty()) {
    m_ports.logger.Log(
        LogLevel::kWarning, "instance_list_rows_unreadable",
        {{"rows", std::to_string(listing->faults.size())}, {"first", listing->faults.front()}});
  }
  m_list_was_read = true;
  m_membership.OnListed(listing->instances);
  const bool changed = m_servers.OnListing(*listing);
  for (const ListedServer& row : listing->servers) {
    if (row.leaving) {
      MarkLeaving(row.server.name, row.server.incarnation, LeavingSource::kList);
    }
  }
  if (changed) {
    ChooseSubset();
    RequestSnapshot(kSnapshotDelay);
  }
}

void InstanceControl::OnEngineAnswer(const BackendServerName& server,
                                     const Result<EngineState>& state) {
  if (!state) {
    if (m_servers.OnPollFailed(server)) {
      RequestSnapshot(kSnapshotDelay);
    }
    return;
  }
  if (state->leaving) {
    MarkLeaving(server, state->incarnation, LeavingSource::kEngine);
  }
  if (m_servers.OnEngineState(server, *state, m_ports.clock.Now())) {
    // Batches answers: matching pipelines for each one would take a whole core while a new instance
    // polls hundreds of engines for the first time.
    RequestSnapshot(LoadSnapshotDelay());
  }
}

void InstanceControl::ReportServerLoad(const BackendServerName& server,
                                       std::uint32_t running,
                                       std::uint32_t queued) {
  m_servers.OnLoad(server, running, queued, m_ports.clock.Now());
  RequestSnapshot(LoadSnapshotDelay());
}

void InstanceControl::ReportServerRates(const BackendServerName& server,
                                        const ServerRatesReport& rates) {
  m_servers.OnRates(server, rates);
  RequestSnapshot(kLoadSnapshotDelay);
}

void InstanceControl::ReportServerLeaving(const BackendServerName& server) {
  MarkLeaving(server, m_servers.IncarnationOf(server), LeavingSource::kEngine);
}

void InstanceControl::MarkLeaving(const BackendServerName& server,
                                  std::uint64_t incarnation,
                                  LeavingSource source) {
  if (!m_leaving.Mark(server, incarnation, source, m_ports.clock.Now())) {
    return;
  }
  m_ports.recorder.Record(
      {m_ports.clock.Now(),
       "backend_server " + server,
       "stop_new_work",
       "the server is leaving",
       {{"incarnation", std::to_string(incarnation)}, {"source", std::string(NameOf(source))}}});
  m_membership.SendUrgently(LeavingRumour{server, incarnation}, source != LeavingSource::kPeer,
                            true);
  RequestSnapshot(kSnapshotDelay);
}

std::vector<CrashRumour> InstanceControl::CrashRumours(const BackendServerName& server,
                                                       const InFlightAtCrash& in_flight) const {
  std::vector<CrashRumour> rumours;
  const std::uint64_t incarnation = m_servers.IncarnationOf(server);
  for (const bool alone : {false, true}) {
    const std::vector<Fingerprint>& fingerprints =
        alone ? in_flight.alone : in_flight.beside_others;
    for (std::size_t first = 0; first < fingerprints.size(); first += kFingerprintsInRumour) {
      const std::size_t end = std::min(first + kFingerprintsInRumour, fingerprints.size());
      rumours.push_back({server,
                         incarnation,
                         {fingerprints.begin() + static_cast<std::ptrdiff_t>(first),
                          fingerprints.begin() + static_cast<std::ptrdiff_t>(end)},
                         0,
                         alone});
    }
  }
  return rumours;
}

void InstanceControl::ReportServerCrash(const BackendServerName& server,
                                        const InFlightAtCrash& in_flight) {
  for (const CrashRumour& rumour : CrashRumours(server, in_flight)) {
    ApplyCrash(rumour, true);
  }
}

void InstanceControl::ReportServerCrash(const BackendServerName& server,
                                        const InFlightAtCrash& in_flight,
                                        std::function<void()> on_peers_informed) {
  std::vector<CrashRumour> rumours = CrashRumours(server, in_flight);
  ReportServerCrash(server, in_flight);
  m_crash_announcer.Announce(std::move(rumours), std::move(on_peers_informed));
}

void InstanceControl::ApplyCrash(const CrashRumour& rumour, bool originated_here) {
  CrashRumour forwarded = rumour;
  forwarded.fingerprints = m_quarantine.OnCrash(rumour, m_ports.clock.Now());
  if (forwarded.fingerprints.empty()) {
    return;
  }
  for (const Fingerprint& fingerprint : forwarded.fingerprints) {
    if (m_quarantine.IsQuarantined(fingerprint)) {
      m_ports.recorder.Record({m_ports.clock.Now(),
                               "request " + fingerprint.ToHex(),
                               "quarantine",
                               "it was in flight when two backend servers crashed",
                               {{"backend_server", rumour.server}}});
    }
  }
  m_membership.SendUrgently(std::move(forwarded), originated_here, true);
  PublishQuarantine();
}

bool InstanceControl::ClaimSuspect(const Fingerprint& fingerprint) {
  return m_quarantine.Claim(fingerprint, m_ports.clock.Now());
}

void InstanceControl::TickQuarantine() {
  m_quarantine_call =
      m_ports.scheduler.ScheduleAfter(kQuarantineTick, [this] { TickQuarantine(); });
  const bool busy = !m_quarantine.IsEmpty();
  m_quarantine.Tick(m_ports.clock.Now());
  if (busy) {
    PublishQuarantine();
  }
}

void InstanceControl::PublishQuarantine() {
  m_quarantine_snapshot.store(m_quarantine.BuildSnapshot(m_ports.clock.Now()));
}

void InstanceControl::OnConfigurationChanged(const Configuration& configuration) {
  std::set<BackendServerName> drains;
  for (const auto& [server, order] : configuration.server_orders()) {
    if (order.drain) {
      drains.insert(server);
    }
  }
  m_leaving.SetDrains(std::move(drains));
  if (SubsetDependsOn(configuration)) {
    ChooseSubset();
  }
  RequestSnapshot(kSnapshotDelay);
}

void InstanceControl::OnMembershipChanged() {
  m_quarantine.SetInstances(m_membership.Self().name, m_membership.LiveInstances());
  if (!m_quarantine.IsEmpty()) {
    PublishQuarantine();
  }
  RequestSnapshot(LoadSnapshotDelay());
}

// Avoids regrouping all servers when a change concerns only contracts.
bool InstanceControl::SubsetDependsOn(const Configuration& configuration) const {
  return !m_subset_configuration ||
         m_subset_configuration->pipelines() != configuration.pipelines() ||
         m_subset_configuration->services() != configuration.services() ||
         m_subset_configuration->server_orders() != configuration.server_orders();
}

void InstanceControl::ChooseSubset() {
  m_subset_configuration = m_configuration.Current();
  m_subset = SelectServers(m_membership.Self().name, m_servers.rows(), *m_configuration.Current());
  std::set<BackendServerName> engines = m_subset;
  for (const auto& [name, service] : m_configuration.Current()->services()) {
    for (const BackendServerName& server : service.servers) {
      engines.erase(server);
    }
  }
  m_poller.SetServers(std::move(engines));
}

void InstanceControl::RequestSnapshot(Duration within) {
  const TimePoint due = m_ports.clock.Now() + within;
  if (m_snapshot_call && m_snapshot_due <= due) {
    return;
  }
  m_snapshot_due = due;
  m_snapshot_call = m_ports.scheduler.ScheduleAfter(within, [this] { PublishSnapshot(); });
}

void InstanceControl::PublishSnapshot() {
  const std::unique_ptr<ScheduledCall> finished = std::move(m_snapshot_call);
  const auto snapshot =
      m_builder.Build({m_servers, m_leaving, m_subset, m_configuration.Current(),
                       m_settings.membership.self.failure_domain,
                       m_membership.table().LiveCount() + 1, m_ports.clock.Now()});
  m_snapshot.store(snapshot);
  UpdateReadiness();
  const std::vector<SnapshotListener*> listeners = m_snapshot_listeners;
  for (SnapshotListener* listener : listeners) {
    listener->OnSnapshot(snapshot);
  }
}

void InstanceControl::UpdateReadiness() {
  if (m_ready || !m_configuration.IsReady() || !m_list_was_read) {
    return;
  }
  const TimePoint now = m_ports.clock.Now();
  if (!m_engine_wait_started) {
    m_engine_wait_started = now;
  }
  m_ready = m_poller.HasPolledAll() || now - *m_engine_wait_started >= kEngineWaitTimeout;
  if (!m_ready) {
    RequestSnapshot(kReadinessInterval);
  }
}

std::vector<InstanceRow> InstanceControl::LiveInstanceRows() const {
  std::vector<InstanceRow> rows;
  rows.push_back({m_membership.Self(), MemberState::kAlive, m_configuration.revision()});
  for (const auto& [name, member] : m_membership.table().members()) {
    if (IsLive(member.state)) {
      rows.push_back({member.instance, member.state, member.revision});
    }
  }
  std::sort(rows.begin(), rows.end(), [](const InstanceRow& left, const InstanceRow& right) {
    return left.instance.name < right.instance.name;
  });
  return rows;
}

std::vector<QuarantineRow> InstanceControl::QuarantineRows() const {
  return m_quarantine.Rows(m_ports.clock.Now());
}

void InstanceControl::OnProbe(const ProbeMessage& message) {
  m_membership.OnProbe(message);
  if (message.kind == ProbeKind::kAck && message.sequence != 0) {
    m_crash_announcer.OnAcknowledged(message.sequence);
  }
}

ConfigurationDelta InstanceControl::OnFetchConfiguration(ConfigurationRevision after) {
  return m_configuration.DeltaAfter(after);
}

void InstanceControl::OnBeginIntent(IntentRequest request,
                                    std::function<void(Result<IntentReply>)> reply) {
  if (m_intent_handler == nullptr) {
    reply(MakeError(ErrorKind::kPeerUnavailable, "this instance holds no partition"));
    return;
  }
  m_intent_handler->OnBeginIntent(std::move(request), std::move(reply));
}

void InstanceControl::OnReportOutcome(IntentOutcome outcome,
                                      std::function<void(Result<void>)> reply) {
  if (m_intent_handler == nullptr) {
    reply(MakeError(ErrorKind::kPeerUnavailable, "this instance holds no partition"));
    return;
  }
  m_intent_handler->OnReportOutcome(std::move(outcome), std::move(reply));
}

void InstanceControl::OnRumour(const Rumour& rumour, const Instance& sender) {
  if (const auto* leaving = std::get_if<LeavingRumour>(&rumour)) {
    MarkLeaving(leaving->server, leaving->incarnation, LeavingSource::kPeer);
  } else if (const auto* crash = std::get_if<CrashRumour>(&rumour)) {
    ApplyCrash(*crash, false);
  } else if (const auto* change = std::get_if<ConfigurationRumour>(&rumour)) {
    m_configuration.OnRumour(change->delta, sender);
  }
}

void InstanceControl::OnPeerRevision(const Instance& peer, ConfigurationRevision revision) {
  m_configuration.OnPeerRevision(peer, revision);
}

std::vector<Rumour> InstanceControl::RumoursForNewMember() const {
  std::vector<Rumour> rumours;
  for (CrashRumour& crash : m_quarantine.Rumours(m_ports.clock.Now())) {
    rumours.emplace_back(std::move(crash));
  }
  for (const auto& [server, mark] : m_leaving.marks()) {
    const bool current = mark.incarnation >= m_servers.IncarnationOf(server);
    if (current && rumours.size() < kMaxInitialRumours) {
      rumours.emplace_back(LeavingRumour{server, mark.incarnation});
    }
  }
  return rumours;
}

std::vector<Rumour> InstanceControl::RumoursForRepair(std::size_t max_bytes) {
  const std::vector<Rumour> all = RumoursForNewMember();
  std::vector<Rumour> turn;
  for (std::size_t taken = 0; taken < all.size(); ++taken) {
    const Rumour& rumour = all[m_repair_turn % all.size()];
    const std::size_t size = EstimateSize(rumour);
    if (size > max_bytes && !turn.empty()) {
      break;
    }
    max_bytes -= std::min(size, max_bytes);
    turn.push_back(rumour);
    ++m_repair_turn;
  }
  return turn;
}

void InstanceControl::PublishDelta(const ConfigurationDelta& delta, bool originated_here) {
  // Not queued: an instance that misses it sees the higher revision in a probe and fetches it.
  m_membership.SendUrgently(ConfigurationRumour{delta}, originated_here, false);
}

void InstanceControl::PublishRevision() {
  m_membership.PushRevision();
}

}  // namespace zinnia
