#include "zinnia_decisions/forwarding/forwarding_control.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/paths/route_table.h"
#include "zinnia_decisions/forwarding/paths/service_classes.h"
#include "zinnia_decisions/forwarding/placement/layer_placer.h"
#include "zinnia_decisions/membership/rendezvous.h"
#include "zinnia_decisions/ports/record_reader.h"

namespace zinnia {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(250);

// The order role's lease is renewed once in this many ticks.
constexpr std::uint64_t kTicksBetweenRenewals = 2;

// Store watchers have this long to acquire a free lease before other instances try.
constexpr Duration kStoreWatcherPriorityTime = std::chrono::seconds(2);

// Instances of a fleet register again over this time multiplied by their number: two hundred writes
// a second for any fleet size.
constexpr std::chrono::milliseconds kRegistrationPerInstance{10};

// Longer than usual outages of the store.
constexpr std::chrono::milliseconds kStoreOutageGrace{16'000};

/** Placement orders are rare and short, so the order role may change its holder within seconds. */
OrderSettings PlacementSettings(bool engines_check_fencing) {
  OrderSettings settings;
  settings.lease = std::chrono::milliseconds(2'000);
  settings.lease_margin = std::chrono::milliseconds(500);
  settings.tick = std::chrono::milliseconds(500);
  settings.transport_timeout = std::chrono::milliseconds(1'000);
  settings.valid_for = std::chrono::milliseconds(0);  // Placement orders do not expire.
  settings.engines_check_fencing = engines_check_fencing;
  settings.outage_grace = kStoreOutageGrace;
  return settings;
}

StoreMirrorSettings MirrorSettings(const InstanceName& self) {
  StoreMirrorSettings settings;
  constexpr auto kMaxHash = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  settings.spread_position = static_cast<double>(Hash64(self)) / kMaxHash;
  return settings;
}

}  // namespace

ForwardingControl::ForwardingControl(ForwardingControlParts parts, Publish publish)
    : m_parts(std::move(parts)),
      m_mirror_settings(MirrorSettings(m_parts.self.name)),
      m_publish(std::move(publish)),
      m_instances(m_parts.clock, m_parts.self),
      m_recent_instances(m_parts.clock),
      m_store_era(m_parts.logger, [this](StoreEra era) { OnStoreEraChanged(era); }),
      m_mirror(m_parts.store, m_parts.scheduler, m_parts.clock, m_parts.logger, m_mirror_settings),
      m_servers(m_parts.scheduler, m_parts.logger),
      m_registration(m_parts.store, m_parts.scheduler, m_parts.logger, m_parts.self),
      m_quarantine_records(m_parts.store, m_parts.scheduler, m_parts.clock, m_parts.logger),
      m_reports(m_parts.report_transport,
                m_parts.scheduler,
                m_parts.clock,
                m_instances,
                m_mirror,
                m_parts.sink,
                m_parts.logger,
                m_parts.seeds,
                {}),
      m_view(std::make_shared<const ForwardingView>()) {
  m_mirror.SetListener(this);
  m_parts.store.SetEraListener(&m_store_era);
}

ForwardingControl::~ForwardingControl() {
  m_parts.store.SetEraListener(nullptr);
}

void ForwardingControl::Start() {
  m_mirror.Start();
  m_registration.Start();
  m_reports.Start();
  Tick();
}

void ForwardingControl::Stop() {
  m_timer.reset();
  m_reports.SendLeaving();
  for (auto& [service, placer] : m_placers) {
    placer->Stop();
  }
  m_registration.Stop();
}

void ForwardingControl::OnServerStalled(const BackendServerName& server) {
  for (auto& [service, placer] : m_placers) {
    placer->OnEngineStalled(server);
  }
}

bool ForwardingControl::IsStoreSteady() const {
  return m_mirror.Contact().IsStableFor(ServerDirectory::kRemovalGracePeriod) ||
         m_reports.AnyPeerSeesStableStore();
}

void ForwardingControl::OnStoreEraChanged(StoreEra era) {
  m_mirror.OnStoreEraChanged(era);
  const double spread =
      m_mirror_settings.spread_position * static_cast<double>(m_instances.Live().size());
  const auto pause =
      std::chrono::duration_cast<std::chrono::milliseconds>(kRegistrationPerInstance * spread);
  m_registration.OnStoreEraChanged(pause);
  m_quarantine_records.OnStoreEraChanged(pause);
  for (auto& [service, placer] : m_placers) {
    placer->OnStoreEraChanged(era);
  }
}

void ForwardingControl::OnServerStateReport(const ServerStateReport& report) {
  // While the store is available, its records on layers are newer than reports from peers. A report
  // that a server leaves is applied at once, as a store outage may take seconds to be detected.
  const bool is_accepted = report.leaving || !IsStoreSteady();
  if (is_accepted && m_servers.OnServerStateReport(report, [this] { PublishView(); })) {
    m_reports.AddServerState(report);
    PublishView();
  }
}

void ForwardingControl::OnMirroredRecord(const MirroredRecord& record, RecordOrigin origin) {
  if (m_parts.reader.IsConfiguration(record.key)) {
    OnRules(record);
  } else if (const auto registration = m_parts.reader.RegistrationOf(record.key)) {
    OnServer(*registration, record, origin);
  } else if (record.key.starts_with(InstanceRegistration::kKeyPrefix)) {
    OnInstance(record, origin);
  } else if (record.key.starts_with(QuarantineRecords::kKeyPrefix)) {
    OnQuarantineRecord(record);
  }
}

void ForwardingControl::OnQuarantined(const QuarantineReport& quarantine) {
  const std::string subject = quarantine.request.ToHex();
  const InstanceName& self = m_parts.self.name;
  const auto own = std::pair(RendezvousWeight(subject, self), self);
  const std::vector<Instance> live = m_instances.Live();
  const bool is_writer = std::none_of(live.begin(), live.end(), [&](const Instance& instance) {
    return std::pair(RendezvousWeight(subject, instance.name), instance.name) > own;
  });
  if (is_writer && !m_mirror.Has(QuarantineRecords::KeyOf(SuspectOf(quarantine)))) {
    m_quarantine_records.Write(quarantine);
  }
}

void ForwardingControl::OnCleared(const std::vector<ClearedRequest>& requests) {
  for (const ClearedRequest& cleared : requests) {
    m_quarantine_records.Remove(SuspectOf(cleared));
  }
}

/** A removed record has ended with its lease, as the quarantine does by itself. */
void ForwardingControl::OnQuarantineRecord(const MirroredRecord& record) {
  if (!record.value) {
    return;
  }
  if (const auto quarantine =
          QuarantineRecords::Decode(record.key, *record.value, m_parts.clock.WallNow())) {
    m_parts.sink.OnPeerQuarantines({*quarantine});
  }
}

void ForwardingControl::OnRules(const MirroredRecord& record) {
  if (!record.value) {
    return;
  }
  auto rules = m_parts.reader.ReadRules(*record.value);
  if (!rules) {
    m_parts.logger.Log(LogLevel::kError, "configuration_unreadable",
                       {{"revision", std::to_string(record.revision.number)},
                        {"era", std::to_string(record.revision.era)},
                        {"reason", Describe(rules.error())}});
    return;
  }
  if (m_rules && rules->version <= m_rules->version) {
    if (rules->version < m_rules->version) {
      m_parts.logger.Log(LogLevel::kWarning, "configuration_older_ignored",
                         {{"version", std::to_string(rules->version)},
                          {"in_force", std::to_string(m_rules->version)},
                          {"revision", std::to_string(record.revision.number)},
                          {"era", std::to_string(record.revision.era)}});
    }
    return;
  }
  m_rules = std::make_shared<const ForwardingRules>(std::move(*rules));
  m_routes = std::make_shared<const RouteTable>(*m_rules);
  m_classes = std::make_shared<const ServiceClasses>(*m_rules);
  m_configuration = {record.revision, m_mirror.Source(), m_parts.clock.Now()};
  m_parts.logger.Log(LogLevel::kInfo, "configuration_in_force",
                     {{"version", std::to_string(m_rules->version)},
                      {"revision", std::to_string(record.revision.number)},
                      {"era", std::to_string(record.revision.era)},
                      {"from", std::string(m_configuration.source)},
                      {"routes", std::to_string(m_rules->routes.size())}});
}

void ForwardingControl::OnServer(const std::string& registration,
                                 const MirroredRecord& record,
                                 RecordOrigin origin) {
  const bool is_older_copy = origin == RecordOrigin::kOlderCopy;
  if (!record.value) {
    LogDeparture(registration, record, "removed");
    RemoveServer(registration, is_older_copy);
    return;
  }
  auto server = m_parts.reader.ReadServer(registration, *record.value);
  if (!server) {
    m_parts.logger.Log(LogLevel::kError, "server_entry_unreadable",
                       {{"key", record.key},
                        {"revision", std::to_string(record.revision.number)},
                        {"era", std::to_string(record.revision.era)},
                        {"reason", Describe(server.error())}});
    m_servers.Invalidate(registration);
    return;
  }
  if (server->draining) {
    LogDeparture(registration, record, "draining");
  }
  if (is_older_copy) {
    m_servers.PutOlderCopy(std::move(*server), [this] { PublishView(); });
  } else {
    m_servers.Put(std::move(*server), [this] { PublishView(); });
  }
}

/** With the events of ServerDirectory, shows when and from whom this instance heard that a server
    leaves, and why it goes on using the server. */
void ForwardingControl::LogDeparture(const std::string& registration,
                                     const MirroredRecord& record,
                                     std::string_view notice) const {
  m_parts.logger.Log(LogLevel::kInfo, "server_departure_heard",
                     {{"registration", registration},
                      {"notice", std::string(notice)},
                      {"revision", std::to_string(record.revision.number)},
                      {"era", std::to_string(record.revision.era)},
                      {"from", std::string(m_mirror.Source())},
                      {"store_settled", m_reports.IsStoreSettled() ? "yes" : "no"}});
}

/** Without a store outage, an entry is removed only if the server is gone. */
void ForwardingControl::RemoveServer(const std::string& registration, bool is_older_copy) {
  const auto publish = [this] { PublishView(); };
  if (is_older_copy) {
    m_servers.RemoveForgotten(registration, publish);
  } else if (m_reports.IsStoreSettled()) {
    m_servers.Remove(registration);
  } else {
    m_servers.RemoveUnlessBack(registration, publish);
  }
}

/** Whether the server's layers exist in the service's model. If not, the server was registered for
    another model and cannot run requests. */
bool ForwardingControl::LayersFitModel(const ServerEntry& server) const {
  if (!m_rules) {
    return true;
  }
  const auto service = m_rules->services.find(server.service);
  const bool layered = service != m_rules->services.end() && service->second.engine &&
                       service->second.engine->IsLayered();
  return !layered || server.layers.end <= service->second.engine->layers;
}

void ForwardingControl::OnInstance(const MirroredRecord& record, RecordOrigin origin) {
  const InstanceName name = record.key.substr(InstanceRegistration::kKeyPrefix.size());
  if (name == m_parts.self.name) {
    m_registration.SetKnownVersion(record.value ? record.revision.number : 0);
  }
  if (!record.value && origin == RecordOrigin::kOlderCopy) {
    m_instances.OnRecordForgotten(name);
  } else if (!record.value) {
    m_instances.OnRecordRemoved(name);
  } else if (const auto instance = InstanceRegistration::Decode(record.key, *record.value)) {
    m_instances.OnRecord(*instance);
  } else {
    LogUnreadable("instance_record_unreadable", record);
  }
}

void ForwardingControl::LogUnreadable(std::string_view event, const MirroredRecord& record) const {
  m_parts.logger.Log(LogLevel::kError, event,
                     {{"key", record.key},
                      {"revision", std::to_string(record.revision.number)},
                      {"era", std::to_string(record.revision.era)}});
}

void ForwardingControl::OnMirrorAdvanced() {
  // Peers may have heard of a change of era first.
  m_store_era.OnStoreEra(std::max(m_mirror.Revision().era, m_store_era.Era().value_or(0)));
  PublishView();
  m_reports.SendRevision();
}

void ForwardingControl::PublishView() {
  auto view = std::make_shared<ForwardingView>();
  view->rules = m_rules;
  view->routes = m_routes;
  view->classes = m_classes;
  view->configuration = m_configuration;
  for (const auto& [name, server] : m_servers.All()) {
    if (LayersFitModel(server)) {
      view->servers.emplace(name, server);
    }
  }
  view->ended_incarnations = m_servers.EndedIncarnations();
  view->live_instances = m_instances.Live().size();
  view->instances = m_recent_instances.Update(m_instances.Live());
  view->revision = m_mirror.Revision();
  view->as_of = m_parts.clock.Now();
  m_view = view;
  m_publish(m_view);
}

void ForwardingControl::UpdatePlacers() {
  if (!m_rules) {
    return;
  }
  const OrderRoleParts parts = {m_parts.clock, m_parts.scheduler, m_parts.store, m_instances,
                                m_parts.recorder};
  for (const auto& [name, service] : m_rules->services) {
    const bool layered = service.engine && service.engine->IsLayered();
    if (layered && !m_placers.contains(name)) {
      m_placers[name] =
          std::make_unique<LayerPlacer>(parts, PlacementSettings(m_parts.engines_check_fencing),
                                        m_parts.layer_orders, m_parts.logger, name);
      m_placers[name]->OnStoreEraChanged(m_store_era.Era().value_or(0));
    }
  }
}

StoreWatchRole ForwardingControl::ReadingFor(bool is_placer) const {
  if (is_placer || m_reports.IsAssignedStoreWatcher()) {
    return StoreWatchRole::kStoreWatcher;
  }
  return m_reports.ShouldWatchStore() ? StoreWatchRole::kSubstitute : StoreWatchRole::kNone;
}

void ForwardingControl::SetReading(StoreWatchRole reading) {
  if (reading != m_reading) {
    m_reading = reading;
    m_parts.logger.Log(LogLevel::kInfo, "store_reading",
                       {{"as", std::string(NameOf(reading))},
                        {"live_instances", std::to_string(m_instances.Live().size())},
                        {"reader_heard_ms", m_reports.DescribeStoreWatcherAge()},
                        {"behind_ms", m_reports.DescribeTimeBehind()}});
  }
  m_mirror.SetWatchSlot(m_reports.StoreWatchRank(), m_reports.StoreWatchers());
  m_mirror.SetWatchRole(reading, m_instances.Live().size());
}

/** Store watchers try to acquire a free lease first. Other instances try only if none of them does,
    since the whole fleet trying at once would overload the store. */
bool ForwardingControl::MayAcquireOrderRole(const ServiceName& service) {
  if (m_mirror.Has(OrderRole::LeaseKeyOf(service))) {
    m_order_lease_free_since.erase(service);
    return false;
  }
  const TimePoint now = m_parts.clock.Now();
  const TimePoint since = m_order_lease_free_since.emplace(service, now).first->second;
  return m_reports.IsAssignedStoreWatcher() || now - since >= kStoreWatcherPriorityTime;
}

void ForwardingControl::Tick() {
  // First, or whatever throws below would end all later ticks.
  m_timer = m_parts.scheduler.ScheduleAfter(kTickInterval, [this] { Tick(); });
  UpdatePlacers();
  bool is_placer = false;
  const bool renew = m_ticks++ % kTicksBetweenRenewals == 0;
  for (auto& [service, placer] : m_placers) {
    placer->SetStoreServesOthers(m_reports.AnyPeerSeesStableStore());
    if (renew) {
      placer->TickRole(MayAcquireOrderRole(service));
    }
    placer->Tick(*m_view);
    is_placer = is_placer || placer->HoldsRole();
  }
  if (m_reports.IsStoreSettled() && m_servers.OnStoreSettled()) {
    PublishView();
  }
  if (m_recent_instances.Update(m_instances.Live()) != m_view->instances) {
    PublishView();
  }
  m_mirror.SetIsPlacer(is_placer);
  SetReading(ReadingFor(is_placer));
}

}  // namespace zinnia
