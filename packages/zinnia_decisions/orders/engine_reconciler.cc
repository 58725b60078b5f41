#include "zinnia_decisions/orders/engine_reconciler.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/membership/membership_view.h"
#include "zinnia_decisions/once/alive_guard.h"

namespace zinnia {
namespace {

std::optional<LoadedRange> DesiredOf(const Configuration& configuration,
                                     const BackendServerName& server) {
  const auto found = configuration.server_orders().find(server);
  if (found == configuration.server_orders().end() || !found->second.desired_model) {
    return std::nullopt;
  }
  const ServerOrder& order = found->second;
  return LoadedRange{*order.desired_model,
                     order.desired_version.value_or(""),
                     {order.desired_first_layer, order.desired_end_layer}};
}

}  // namespace

Result<std::unique_ptr<EngineReconciler>> EngineReconciler::Create(OrderRoleParts parts,
                                                                   EngineOrders& engines,
                                                                   const SnapshotSource& snapshots,
                                                                   OrderSettings settings,
                                                                   std::string pool) {
  const Result<void> checked = CheckOrderSettings(settings);
  if (!checked) {
    return checked.error();
  }
  return std::unique_ptr<EngineReconciler>(
      new EngineReconciler(parts, engines, snapshots, settings, std::move(pool)));
}

EngineReconciler::EngineReconciler(OrderRoleParts parts,
                                   EngineOrders& engines,
                                   const SnapshotSource& snapshots,
                                   OrderSettings settings,
                                   std::string pool)
    : m_parts(parts),
      m_engine_orders(engines),
      m_snapshots(snapshots),
      m_settings(settings),
      m_pool(std::move(pool)),
      m_role(parts, m_settings, m_pool) {}

EngineReconciler::~EngineReconciler() = default;

void EngineReconciler::Start() {
  Tick();
}

void EngineReconciler::Stop() {
  m_timer.reset();
  m_role.StepDown("planned stop");
}

void EngineReconciler::Tick() {
  m_timer = m_parts.scheduler.ScheduleAfter(m_settings.tick, [this] { Tick(); });
  m_role.Tick(HighestEpochSeen());
  if (!m_role.MaySend()) {
    // Another holder may have changed the engines since these states were read.
    m_engines.clear();
    return;
  }
  const auto fleet = m_snapshots.Current();
  ReadStates(*fleet);
  if (fleet->configuration) {
    OrderLoads(*fleet);
  }
}

void EngineReconciler::ReadStates(const FleetSnapshot& fleet) {
  const TimePoint now = m_parts.clock.Now();
  std::erase_if(m_engines, [&](const auto& item) { return !fleet.servers.contains(item.first); });
  for (const auto& [name, view] : fleet.servers) {
    if (view.server.pool != m_pool) {
      continue;
    }
    Engine& engine = m_engines[name];
    if (!engine.reading && (!engine.state || now - engine.read_at >= m_settings.state_interval)) {
      ReadState(name);
    }
  }
}

void EngineReconciler::ReadState(const BackendServerName& server) {
  m_engines[server].reading = true;
  m_engine_orders.ReadState(server,
                            WhileAlive(m_alive, [this, server](const Result<EngineState>& result) {
                              OnState(server, result);
                            }));
}

void EngineReconciler::OnState(const BackendServerName& server, const Result<EngineState>& result) {
  const auto found = m_engines.find(server);
  if (found == m_engines.end()) {
    return;
  }
  found->second.reading = false;
  found->second.read_at = m_parts.clock.Now();
  found->second.state = result ? std::optional(*result) : std::nullopt;
}

void EngineReconciler::OrderLoads(const FleetSnapshot& fleet) {
  std::vector<EnginePlanView> views;
  std::map<BackendServerName, LoadedRange> targets;
  for (const auto& [name, view] : fleet.servers) {
    if (view.server.pool == m_pool) {
      views.push_back(ViewOf(view, *fleet.configuration));
      if (views.back().desired) {
        targets[name] = *views.back().desired;
      }
    }
  }
  const LoadPlan plan =
      PlanLoads(std::move(views), fleet.configuration->models(), m_settings.most_loads);
  for (const BackendServerName& server : plan.loads) {
    SendOrder(server, targets.at(server));
  }
}

EnginePlanView EngineReconciler::ViewOf(const ServerView& server,
                                        const Configuration& configuration) const {
  EnginePlanView view;
  view.server = server.server.name;
  view.desired = DesiredOf(configuration, view.server);
  const Engine& engine = m_engines.at(view.server);
  if (engine.state) {
    view.loaded = engine.state->loaded;
    view.ready = server.state == BackendServerState::kLive && !engine.state->leaving;
  }
  view.busy = (engine.state && engine.state->loading) || IsOrderInFlight(engine);
  view.may_order = MayOrder(server.server, engine);
  return view;
}

/** An engine that does not check the epoch gets no order while one from an earlier holder may still
    reach it, and its state must have been read after that time. */
bool EngineReconciler::MayOrder(const BackendServer& server, const Engine& engine) const {
  if (!engine.state || engine.state->leaving) {
    return false;
  }
  const bool checks = server.checks_fencing && engine.state->checks_fencing;
  const TimePoint unfenced_from = m_role.UnfencedOrdersFrom();
  return checks || (m_parts.clock.Now() >= unfenced_from && engine.read_at >= unfenced_from);
}

bool EngineReconciler::IsOrderInFlight(const Engine& engine) const {
  const auto longest = m_settings.valid_for + m_settings.transport_timeout;
  return engine.ordered_at && (m_parts.clock.Now() - *engine.ordered_at < longest ||
                               engine.read_at - *engine.ordered_at < longest);
}

/** Checks the lease again immediately before sending the order. */
void EngineReconciler::SendOrder(const BackendServerName& server, const LoadedRange& target) {
  if (!m_role.MaySend()) {
    return;
  }
  LoadOrder order;
  order.order_id =
      fmt::format("{}-{}-{}", m_parts.membership.Self().name, m_role.Epoch(), m_next_order++);
  order.target = target;
  order.epoch = m_role.Epoch();
  order.valid_for = m_settings.valid_for;
  m_engines[server].ordered_at = m_parts.clock.Now();
  m_parts.recorder.Record({m_parts.clock.Now(),
                           "backend_server " + server,
                           "order_load",
                           "the engine does not hold what the configuration wants",
                           {{"order_id", order.order_id},
                            {"model", target.model},
                            {"version", target.version},
                            {"epoch", std::to_string(order.epoch)}}});
  m_engine_orders.Order(server, std::move(order),
                        WhileAlive(m_alive, [this, server](const Result<void>& result) {
                          OnOrdered(server, result);
                        }));
}

void EngineReconciler::OnOrdered(const BackendServerName& server, const Result<void>& result) {
  const auto found = m_engines.find(server);
  if (found == m_engines.end()) {
    return;
  }
  if (!result && result.error().kind == ErrorKind::kStaleEpoch) {
    m_role.StepDown("an engine has seen a higher epoch");
  }
  if (!result && result.error().kind != ErrorKind::kOutcomeUnknown) {
    found->second.ordered_at.reset();
  }
  ReadState(server);
}

std::uint64_t EngineReconciler::HighestEpochSeen() const {
  std::uint64_t highest = 0;
  for (const auto& [name, engine] : m_engines) {
    highest = std::max(highest, engine.state ? engine.state->highest_epoch : 0);
  }
  return highest;
}

}  // namespace zinnia
