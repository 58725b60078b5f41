#include "zinnia_decisions/forwarding/forwarding_control.h"

#include <limits>
#include <utility>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/paths/route_table.h"
#include "zinnia_decisions/forwarding/placement/layer_placer.h"
#include "zinnia_decisions/ports/record_reader.h"

namespace zinnia {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(250);

/** The right to give orders is renewed once in so many ticks. */
constexpr std::uint64_t kTicksBetweenRenewals = 2;

/** Twice the time in which a reader takes a free lease: a look of the role and three calls. */
constexpr Duration kReadersSeekFirst = std::chrono::seconds(2);

/** Longer than the outages of the store that were seen, 8 s, by a factor of two. */
constexpr std::chrono::milliseconds kOutageGrace{16'000};

/** Orders are few and soon over, so the right to give them can pass on within seconds. */
OrderSettings PlacementSettings(bool engines_check_fencing) {
  OrderSettings settings;
  settings.lease = std::chrono::milliseconds(2'000);
  settings.lease_margin = std::chrono::milliseconds(500);
  settings.tick = std::chrono::milliseconds(500);
  settings.transport_timeout = std::chrono::milliseconds(1'000);
  settings.valid_for = std::chrono::milliseconds(0);  // These orders carry no end of validity.
  settings.engines_check_fencing = engines_check_fencing;
  settings.outage_grace = kOutageGrace;
  return settings;
}

StoreMirrorSettings MirrorSettings(const InstanceName& self) {
  StoreMirrorSettings settings;
  constexpr auto kMost = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  settings.spread_position = static_cast<double>(Hash64(self)) / kMost;
  return settings;
}

}  // namespace

ForwardingControl::ForwardingControl(ForwardingControlParts parts, Publish publish)
    : m_parts(std::move(parts)),
      m_publish(std::move(publish)),
      m_instances(m_parts.clock, m_parts.self),
      m_recent_instances(m_parts.clock),
      m_mirror(m_parts.store,
               m_parts.scheduler,
               m_parts.clock,
               m_parts.logger,
               MirrorSettings(m_parts.self.name)),
      m_servers(m_parts.scheduler, m_parts.logger),
      m_registration(m_parts.store, m_parts.scheduler, m_parts.logger, m_parts.self),
      m_news(m_parts.news,
             m_parts.scheduler,
             m_parts.clock,
             m_instances,
             m_mirror,
             m_parts.sink,
             m_parts.seeds,
             {}),
      m_view(std::make_shared<const ForwardingView>()) {
  m_mirror.SetListener(this);
}

ForwardingControl::~ForwardingControl() = default;

void ForwardingControl::Start() {
  m_mirror.Start();
  m_registration.Start();
  m_news.Start();
  Tick();
}

void ForwardingControl::Stop() {
  m_timer.reset();
  m_news.SendLeaving();
  for (auto& [service, placer] : m_placers) {
    placer->Stop();
  }
  m_registration.Stop();
}

void ForwardingControl::NoteStalled(const BackendServerName& server) {
  for (auto& [service, placer] : m_placers) {
    placer->NoteStalled(server);
  }
}

bool ForwardingControl::StoreIsSteady() const {
  return m_mirror.IsStableFor(ServerDirectory::kDoubtAfterFailure) ||
         m_news.AnyPeerSeesStableStore();
}

void ForwardingControl::NoteServerNews(const ServerStateReport& news) {
  // While the store answers its word on layers is newer than one that was some time on its way.
  // That a server leaves is believed at once: it may take seconds to notice that the store is away.
  const bool is_believed = news.leaving || !StoreIsSteady();
  if (is_believed && m_servers.NoteServerNews(news, [this] { PublishView(); })) {
    m_news.AddServerState(news);
    PublishView();
  }
}

void ForwardingControl::OnMirroredRecord(const MirroredRecord& record) {
  if (m_parts.reader.IsConfiguration(record.key)) {
    OnRules(record);
  } else if (const auto registration = m_parts.reader.RegistrationOf(record.key)) {
    OnServer(*registration, record);
  } else if (record.key.starts_with(InstanceRegistration::kKeyPrefix)) {
    OnInstance(record);
  }
}

void ForwardingControl::OnRules(const MirroredRecord& record) {
  if (!record.value) {
    return;
  }
  auto rules = m_parts.reader.ReadRules(*record.value);
  if (!rules) {
    m_parts.logger.Log(
        LogLevel::kError, "configuration_unreadable",
        {{"revision", std::to_string(record.revision)}, {"reason", Describe(rules.error())}});
    return;
  }
  if (m_rules && rules->version <= m_rules->version) {
    return;
  }
  m_rules = std::make_shared<const ForwardingRules>(std::move(*rules));
  m_routes = std::make_shared<const RouteTable>(*m_rules);
  m_parts.logger.Log(LogLevel::kInfo, "configuration_in_force",
                     {{"version", std::to_string(m_rules->version)},
                      {"revision", std::to_string(record.revision)},
                      {"routes", std::to_string(m_rules->routes.size())}});
}

void ForwardingControl::OnServer(const std::string& registration, const MirroredRecord& record) {
  if (!record.value) {
    // A store that serves some instance steadily had no outage: entries go only when servers do.
    m_servers.Remove(registration, !StoreIsSteady(), [this] { PublishView(); });
    return;
  }
  auto server = m_parts.reader.ReadServer(registration, *record.value);
  if (!server) {
    m_parts.logger.Log(LogLevel::kError, "server_entry_unreadable",
                       {{"key", record.key},
                        {"revision", std::to_string(record.revision)},
                        {"reason", Describe(server.error())}});
    m_servers.Invalidate(registration);
    return;
  }
  m_servers.Put(std::move(*server), [this] { PublishView(); });
}

/** Whether the layers that it says it holds are layers of the service's model. One that claims
    others was registered by somebody who serves another model: no request can run there. */
bool ForwardingControl::FitsItsService(const ServerEntry& server) const {
  if (!m_rules) {
    return true;
  }
  const auto service = m_rules->services.find(server.service);
  const bool layered = service != m_rules->services.end() && service->second.engine &&
                       service->second.engine->IsLayered();
  return !layered || server.layers.end <= service->second.engine->layers;
}

void ForwardingControl::OnInstance(const MirroredRecord& record) {
  if (record.key.substr(InstanceRegistration::kKeyPrefix.size()) == m_parts.self.name) {
    m_registration.SetKnownVersion(record.value ? record.revision : 0);
  }
  if (!record.value) {
    m_instances.OnRecordRemoved(record.key.substr(InstanceRegistration::kKeyPrefix.size()));
  } else if (const auto instance = InstanceRegistration::Decode(record.key, *record.value)) {
    m_instances.OnRecord(*instance);
  }
}

void ForwardingControl::OnMirrorAdvanced() {
  PublishView();
  m_news.SendRevision();
}

void ForwardingControl::PublishView() {
  auto view = std::make_shared<ForwardingView>();
  view->rules = m_rules;
  view->routes = m_routes;
  for (const auto& [name, server] : m_servers.All()) {
    if (FitsItsService(server)) {
      view->servers.emplace(name, server);
    }
  }
  view->ended_starts = m_servers.Ended();
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
    }
  }
}

StoreWatchRole ForwardingControl::ReadingFor(bool is_placer) const {
  if (is_placer || m_news.IsAssignedStoreWatcher()) {
    return StoreWatchRole::kStoreWatcher;
  }
  return m_news.ShouldWatchStore() ? StoreWatchRole::kSubstitute : StoreWatchRole::kNone;
}

void ForwardingControl::SetReading(StoreWatchRole reading) {
  if (reading != m_reading) {
    m_reading = reading;
    m_parts.logger.Log(LogLevel::kInfo, "store_reading",
                       {{"as", std::string(NameOf(reading))},
                        {"live_instances", std::to_string(m_instances.Live().size())},
                        {"reader_heard_ms", m_news.DescribeStoreWatcherAge()}});
  }
  m_mirror.SetWatchRole(reading, m_instances.Live().size());
}

/** Two hundred instances that look at a free lease together make six hundred calls, and all but one
    are in vain. The readers look first: they see the store's changes soonest, and have most to
    spend. The others help only if none of them does. */
bool ForwardingControl::MaySeekOrders(const ServiceName& service) {
  if (m_mirror.Has(OrderRole::LeaseKeyOf(service))) {
    m_orders_free_since.erase(service);
    return false;
  }
  const TimePoint now = m_parts.clock.Now();
  const TimePoint since = m_orders_free_since.emplace(service, now).first->second;
  return m_news.IsAssignedStoreWatcher() || now - since >= kReadersSeekFirst;
}

void ForwardingControl::Tick() {
  UpdatePlacers();
  bool is_placer = false;
  const bool renew = m_ticks++ % kTicksBetweenRenewals == 0;
  for (auto& [service, placer] : m_placers) {
    placer->NoteStoreServesOthers(m_news.AnyPeerSeesStableStore());
    if (renew) {
      placer->TickRole(MaySeekOrders(service));
    }
    placer->Tick(*m_view);
    is_placer = is_placer || placer->HoldsRole();
  }
  if (m_recent_instances.Update(m_instances.Live()) != m_view->instances) {
    PublishView();
  }
  m_mirror.SetIsPlacer(is_placer);
  SetReading(ReadingFor(is_placer));
  m_timer = m_parts.scheduler.ScheduleAfter(kTickInterval, [this] { Tick(); });
}

}  // namespace zinnia
