#include "zinnia_decisions/forwarding/placement/layer_placer.h"

#include <algorithm>
#include <utility>

#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/paths/service_classes.h"
#include "zinnia_decisions/forwarding/placement/domain_capacity.h"
#include "zinnia_decisions/forwarding/placement/first_servers.h"
#include "zinnia_decisions/forwarding/placement/spare_chooser.h"
#include "zinnia_decisions/once/alive_guard.h"
#include "zinnia_decisions/ports/layer_orders.h"

namespace zinnia {
namespace {

/** The first plan of a pool waits until no engine has registered for this long, so that it includes
    all engines of a simultaneous start. */
constexpr Duration kSettleTime = std::chrono::milliseconds(700);

/** Time until an unanswered order is sent again. */
constexpr Duration kOrderRetryInterval = std::chrono::seconds(2);

/** Time until an accepted order without effect is sent again. Twice the longest load time, as
    engines that load at the same time share the bandwidth of the weight store. */
constexpr Duration kAcceptedOrderRetryInterval = std::chrono::seconds(9);

/** Time until spares cover an uncovered range. Spares load small ranges in less than a second, a
    restarted engine takes several. */
constexpr Duration kRepairDelay = std::chrono::milliseconds(400);

/** Time after which layers without a holder count as uncovered if no engine was seen to leave.
    Longer than an engine shows no layers while it changes them. */
constexpr Duration kGapDelay = std::chrono::milliseconds(1'000);

/** The same while an engine of the failure domain holds no layers: it may be loading them on an
    order of the previous holder. Longer than the longest load. */
constexpr Duration kGapDelayWithEmptyEngine = std::chrono::seconds(5);

/** Time that a new engine waits for a range to become uncovered. In a replacement the new engine
    registers shortly before the old one leaves. */
constexpr Duration kReplacementWait = std::chrono::milliseconds(1'500);

/** After this time a stalled engine that is still in the view is assumed to have recovered: the
   store removes the record of a dead one after three of its write intervals. Not so in a store
   outage. */
constexpr Duration kStallLifetime = std::chrono::seconds(6);

/** Limit on the recorded ranges; the oldest is dropped first. */
constexpr std::size_t kMaxUncoveredRanges = 64;

/** Returns whether `server` is a later incarnation of the lost holder. */
bool WasHeldBy(const ServerEntry& last_holder, const ServerEntry& server) {
  return !server.registration.empty() && last_holder.registration == server.registration;
}

/** Returns whether `server` can hold the range of the lost holder in its place. */
bool CanReplace(const ServerEntry& last_holder, const ServerEntry& server) {
  return last_holder.accelerator == server.accelerator &&
         last_holder.failure_domain == server.failure_domain;
}

bool CanHold(const EngineProfile& engine, const ServerEntry& server, const LayerRange& layers) {
  return layers.end <= engine.layers && layers.Count() <= engine.MostLayers(server.accelerator);
}

std::string RangeText(const LayerRange& layers) {
  return std::to_string(layers.first) + "-" + std::to_string(layers.end);
}

}  // namespace

LayerPlacer::LayerPlacer(const OrderRoleParts& parts,
                         const OrderSettings& settings,
                         LayerOrders& orders,
                         Logger& logger,
                         ServiceName service)
    : m_parts(parts),
      m_settings(settings),
      m_orders(orders),
      m_logger(logger),
      m_service(std::move(service)),
      m_role(parts, m_settings, m_service) {}

LayerPlacer::~LayerPlacer() = default;

void LayerPlacer::TickRole(bool may_seek) {
  if (m_role.IsHeld() || may_seek) {
    m_role.Tick(0);
  }
}

void LayerPlacer::Tick(const ForwardingView& view) {
  if (!view.rules) {
    return;
  }
  const auto service = view.rules->services.find(m_service);
  if (service == view.rules->services.end() || !service->second.engine) {
    return;
  }
  m_is_prioritized = view.classes && view.classes->IsPrioritized(m_service);
  std::vector<ServerEntry> servers;
  for (const auto& [name, server] : view.servers) {
    if (server.service == m_service && !server.draining) {
      servers.push_back(server);
    }
  }
  DetectDepartures(view);
  ForgetRecoveredEngines();
  m_last_servers.clear();
  std::erase_if(m_empty_since,
                [&](const auto& entry) { return !view.servers.contains(entry.first); });
  for (const ServerEntry& server : servers) {
    m_last_servers[server.name] = server;
  }
  if (!MayOrder() || !IsSettled(servers)) {
    return;
  }
  Assign(*service->second.engine, servers);
  WithdrawBeyondMemory(*service->second.engine, servers);
  SendOrders(servers);
}

bool LayerPlacer::MayOrder() const {
  return m_role.MaySend() &&
         (m_settings.engines_check_fencing || m_parts.clock.Now() >= m_role.UnfencedOrdersFrom());
}

void LayerPlacer::DetectDepartures(const ForwardingView& view) {
  for (const auto& [name, server] : m_last_servers) {
    const auto now = view.servers.find(name);
    if (now != view.servers.end() && !now->second.draining) {
      RestoreLayersOf(server, now->second);
      continue;
    }
    const auto assigned = m_assignments.find(name);
    ServerEntry last_holder = server;
    if (assigned != m_assignments.end()) {
      last_holder.layers = assigned->second.layers;
      m_assignments.erase(assigned);
    }
    // The range of a stalled engine was already recorded when it stalled.
    bool already_recorded = m_stalled.erase(name) > 0;
    for (UncoveredRange& uncovered_range : m_uncovered) {
      if (uncovered_range.assigned_to == name) {
        uncovered_range.assigned_to.reset();
        already_recorded = true;
      }
    }
    if (last_holder.layers.Count() > 0 && !already_recorded) {
      m_uncovered.push_back({std::move(last_holder), m_parts.clock.Now(), {}});
    }
    m_layers_before_repair.erase(name);
    m_late_engines.erase(name);
    for (UncoveredRange& uncovered_range : m_uncovered) {
      std::erase(uncovered_range.spares, name);
    }
  }
  if (m_uncovered.size() > kMaxUncoveredRanges) {
    m_uncovered.erase(m_uncovered.begin());
  }
}

/** Assigns an engine that has become empty its previous layers at once. During a store outage only
    the engine's own report shows that it restarted; its range would otherwise count as a gap only
    seconds later. */
void LayerPlacer::RestoreLayersOf(const ServerEntry& before, const ServerEntry& now) {
  if (before.layers.Count() == 0 || now.layers.Count() > 0) {
    return;
  }
  const auto assigned = m_assignments.find(now.name);
  if (assigned == m_assignments.end()) {
    m_assignments[now.name].layers = before.layers;
  } else {
    assigned->second.sent_at.reset();
  }
}

bool LayerPlacer::IsSettled(const std::vector<ServerEntry>& servers) {
  const bool any_holds = std::any_of(servers.begin(), servers.end(), [](const ServerEntry& server) {
    return server.layers.Count() > 0;
  });
  if (servers.size() != m_last_server_count) {
    m_last_server_count = servers.size();
    m_server_count_changed_at = m_parts.clock.Now();
  }
  return any_holds || m_parts.clock.Now() - m_server_count_changed_at >= kSettleTime;
}

bool LayerPlacer::IsUncovered(const FailureDomainName& domain, const LayerRange& layers) const {
  return std::any_of(m_uncovered.begin(), m_uncovered.end(),
                     [&](const UncoveredRange& uncovered_range) {
                       return uncovered_range.last_holder.failure_domain == domain &&
                              uncovered_range.last_holder.layers.first < layers.end &&
                              layers.first < uncovered_range.last_holder.layers.end;
                     });
}

/** Records uncovered ranges whose holder this instance did not see leave, because it left while no
    instance held the order role or before this one acquired it. A single missing layer takes the
    chain of the failure domain out of service. */
void LayerPlacer::DetectGaps(const EngineProfile& engine, const std::vector<ServerEntry>& servers) {
  const TimePoint now = m_parts.clock.Now();
  std::map<FailureDomainName, bool> has_empty;
  for (const ServerEntry& server : servers) {
    const bool is_empty = server.layers.Count() == 0;
    has_empty[server.failure_domain] = has_empty[server.failure_domain] || is_empty;
  }
  std::map<std::pair<FailureDomainName, std::uint32_t>, TimePoint> remaining_gaps;
  const std::vector<ServerEntry> planned = WithPlannedLayers(servers);
  for (const auto& [domain, has_empty_engine] : has_empty) {
    for (const ServerEntry& gap : FindGaps(engine, domain, planned)) {
      if (IsUncovered(domain, gap.layers)) {
        continue;
      }
      const auto key = std::make_pair(domain, gap.layers.first);
      const auto known = m_gaps_since.find(key);
      const TimePoint since = known == m_gaps_since.end() ? now : known->second;
      if (now - since < (has_empty_engine ? kGapDelayWithEmptyEngine : kGapDelay)) {
        remaining_gaps[key] = since;
        continue;
      }
      m_logger.Log(LogLevel::kInfo, "layers_missing",
                   {{"failure_domain", domain}, {"layers", RangeText(gap.layers)}});
      m_uncovered.push_back({gap, now, {}});
    }
  }
  m_gaps_since = std::move(remaining_gaps);
}

std::vector<ServerEntry> LayerPlacer::FindGaps(const EngineProfile& engine,
                                               const FailureDomainName& domain,
                                               const std::vector<ServerEntry>& planned) const {
  const DomainCapacity capacity(engine, domain, planned);
  // A domain that holds few layers forms chains with other domains.
  if (capacity.IsMostlyUncovered()) {
    return {};
  }
  std::vector<ServerEntry> gaps;
  const auto add = [&](const LayerRange& layers, const std::string& accelerator) {
    gaps.emplace_back();
    gaps.back().service = m_service;
    gaps.back().failure_domain = domain;
    gaps.back().layers = layers;
    gaps.back().accelerator = accelerator;
  };
  for (const LayerRange& layers : capacity.FindShortages({0, engine.layers})) {
    add(layers, "");
  }
  if (m_is_prioritized) {
    for (const LostFirstRange& lost : FirstServers(engine, domain, planned).FindLost()) {
      add(lost.layers, lost.accelerator);
    }
  }
  return gaps;
}

LayerPlacer::RangeCover LayerPlacer::CoverOf(const UncoveredRange& uncovered_range,
                                             const std::vector<ServerEntry>& servers) const {
  if (!uncovered_range.spares.empty()) {
    return RangeCover::kSpares;
  }
  const ServerEntry& lost = uncovered_range.last_holder;
  const bool has_holder =
      std::any_of(servers.begin(), servers.end(), [&](const ServerEntry& server) {
        return server.failure_domain == lost.failure_domain && !m_stalled.contains(server.name) &&
               PlannedLayers(server) == lost.layers;
      });
  return has_holder ? RangeCover::kOtherHolder : RangeCover::kNone;
}

/** Assigns uncovered ranges to restarted or new engines, also if spares cover them. Ranges that
    nobody covers come first: relieving a spare instead would leave a chain broken. Among ranges
    that are equally covered, restarted engines get their own back and other engines get the one
    that has been uncovered longest. */
void LayerPlacer::AssignUncovered(const EngineProfile& engine,
                                  const std::vector<ServerEntry>& servers) {
  for (const RangeCover cover :
       {RangeCover::kNone, RangeCover::kOtherHolder, RangeCover::kSpares}) {
    AssignUncovered(engine, servers, cover, &WasHeldBy);
    AssignUncovered(engine, servers, cover, &CanReplace);
  }
}

void LayerPlacer::AssignUncovered(const EngineProfile& engine,
                                  const std::vector<ServerEntry>& servers,
                                  RangeCover cover,
                                  RangeFilter is_eligible) {
  for (const ServerEntry& server : servers) {
    if (server.layers.Count() > 0 || m_assignments.contains(server.name)) {
      continue;
    }
    const auto uncovered_range =
        std::find_if(m_uncovered.begin(), m_uncovered.end(), [&](const UncoveredRange& candidate) {
          return !candidate.assigned_to && is_eligible(candidate.last_holder, server) &&
                 CanHold(engine, server, candidate.last_holder.layers) &&
                 CoverOf(candidate, servers) == cover;
        });
    if (uncovered_range != m_uncovered.end()) {
      AssignRange(server, *uncovered_range);
    }
  }
}

void LayerPlacer::AssignRange(const ServerEntry& server, UncoveredRange& uncovered_range) {
  m_assignments[server.name].layers = uncovered_range.last_holder.layers;
  uncovered_range.assigned_to = server.name;
}

/** Drops ranges that their new holder has loaded and returns their spares. The spares stay until
    then, since a load takes seconds. */
void LayerPlacer::RemoveLoadedRanges(const std::vector<ServerEntry>& servers) {
  for (const ServerEntry& server : servers) {
    std::erase_if(m_uncovered, [&](const UncoveredRange& uncovered_range) {
      const bool is_loaded = uncovered_range.assigned_to == server.name &&
                             server.layers == uncovered_range.last_holder.layers;
      if (is_loaded) {
        RestoreSpares(uncovered_range);
      }
      return is_loaded;
    });
  }
}

/** Assigns spares their previous layers, so that the pool keeps its second holders for later
    losses. */
void LayerPlacer::RestoreSpares(const UncoveredRange& uncovered_range) {
  for (const BackendServerName& name : uncovered_range.spares) {
    const auto spare = m_layers_before_repair.find(name);
    if (spare != m_layers_before_repair.end()) {
      m_assignments[name] = {spare->second, {}, false};
      m_layers_before_repair.erase(spare);
    }
  }
}

void LayerPlacer::OnEngineStalled(const BackendServerName& server) {
  const auto seen = m_last_servers.find(server);
  if (seen == m_last_servers.end() || seen->second.layers.Count() == 0 ||
      !m_stalled.emplace(server, m_parts.clock.Now()).second) {
    return;
  }
  m_uncovered.push_back({seen->second, m_parts.clock.Now(), {}});
}

/** An engine that was declared stalled by mistake, or was cut off for a while, still holds its
   layers. Otherwise the next empty engine would get the same range a second time. */
void LayerPlacer::ForgetRecoveredEngines() {
  const TimePoint now = m_parts.clock.Now();
  std::erase_if(m_stalled, [&](const auto& stalled) {
    if (now - stalled.second < kStallLifetime) {
      return false;
    }
    std::erase_if(m_uncovered, [&](const UncoveredRange& uncovered_range) {
      const bool is_held =
          uncovered_range.last_holder.name == stalled.first && !uncovered_range.assigned_to;
      if (is_held) {
        RestoreSpares(uncovered_range);
      }
      return is_held;
    });
    return true;
  });
}

void LayerPlacer::RepairWithSpares(const EngineProfile& engine,
                                   const std::vector<ServerEntry>& servers) {
  for (UncoveredRange& uncovered_range : m_uncovered) {
    if (m_parts.clock.Now() - uncovered_range.since < kRepairDelay) {
      continue;
    }
    const ServerEntry& lost = uncovered_range.last_holder;
    const std::vector<ServerEntry> planned = WithPlannedLayers(servers);
    // Layers that other engines of the failure domain hold with enough capacity need no spares.
    const DomainCapacity capacity(engine, lost.failure_domain, planned);
    const std::vector<LayerRange> shortages = capacity.FindShortages(lost.layers);
    for (const LayerRange& missing : shortages) {
      DivideRange(uncovered_range, missing, engine, servers, MakeSparePool(servers));
    }
    if (uncovered_range.spares.empty() && !uncovered_range.assigned_to &&
        capacity.HasUncoveredLayer(lost.layers)) {
      LogWithoutSpares(uncovered_range);
    }
    if (m_is_prioritized && shortages.empty() &&
        FirstServers(engine, lost.failure_domain, planned).IsShortOf(lost.layers)) {
      SparePool pool = MakeSparePool(servers);
      KeepDispensable(engine, lost.failure_domain, pool);
      DivideRange(uncovered_range, lost.layers, engine, servers, pool);
    }
  }
}

bool LayerPlacer::AdjoinsUncovered(const ServerEntry& server) const {
  return std::any_of(
      m_uncovered.begin(), m_uncovered.end(), [&](const UncoveredRange& uncovered_range) {
        const ServerEntry& lost = uncovered_range.last_holder;
        return lost.failure_domain == server.failure_domain &&
               (lost.layers.end == server.layers.first || lost.layers.first == server.layers.end);
      });
}

void LayerPlacer::KeepDispensable(const EngineProfile& engine,
                                  const FailureDomainName& domain,
                                  SparePool& pool) const {
  const FirstServers first_servers(engine, domain, pool.engines);
  for (const ServerEntry& server : pool.engines) {
    const bool is_late = m_late_engines.contains(server.name) && server.layers.first > 0;
    // Between two lost engines a chain's engine looks like one that no chain depends on.
    if (is_late || (first_servers.IsDispensable(server) && !AdjoinsUncovered(server))) {
      pool.late_engines.insert(server.name);
    } else {
      pool.busy.insert(server.name);
    }
  }
}

std::vector<ServerEntry> LayerPlacer::WithPlannedLayers(
    const std::vector<ServerEntry>& servers) const {
  std::vector<ServerEntry> planned;
  for (const ServerEntry& server : servers) {
    if (!m_stalled.contains(server.name)) {
      planned.push_back(server);
      planned.back().layers = PlannedLayers(server);
    }
  }
  return planned;
}

/** Returns the layers that the server is assigned, else those it holds. */
LayerRange LayerPlacer::PlannedLayers(const ServerEntry& server) const {
  const auto assigned = m_assignments.find(server.name);
  return assigned == m_assignments.end() ? server.layers : assigned->second.layers;
}

void LayerPlacer::DivideRange(UncoveredRange& uncovered_range,
                              const LayerRange& missing,
                              const EngineProfile& engine,
                              const std::vector<ServerEntry>& servers,
                              const SparePool& pool) {
  std::map<BackendServerName, LayerRange> held;
  for (const ServerEntry& server : servers) {
    held[server.name] = server.layers;
  }
  for (const SpareShare& share :
       SpareChooser::DivideRange(engine, pool, uncovered_range.last_holder, missing)) {
    m_assignments[share.server] = {share.layers, {}, false};
    m_layers_before_repair[share.server] = held.at(share.server);
    uncovered_range.spares.push_back(share.server);
  }
}

void LayerPlacer::LogWithoutSpares(UncoveredRange& uncovered_range) {
  if (!std::exchange(uncovered_range.is_logged, true)) {
    m_logger.Log(LogLevel::kWarning, "layers_without_spares",
                 {{"failure_domain", uncovered_range.last_holder.failure_domain},
                  {"layers", RangeText(uncovered_range.last_holder.layers)}});
  }
}

SparePool LayerPlacer::MakeSparePool(const std::vector<ServerEntry>& servers) const {
  SparePool pool{WithPlannedLayers(servers), {}, m_late_engines};
  for (const ServerEntry& server : servers) {
    if (server.layers.Count() == 0 || m_layers_before_repair.contains(server.name)) {
      pool.busy.insert(server.name);
    }
  }
  return pool;
}

void LayerPlacer::Assign(const EngineProfile& engine, const std::vector<ServerEntry>& servers) {
  const bool all_empty = m_assignments.empty() &&
                         std::all_of(servers.begin(), servers.end(), [](const ServerEntry& server) {
                           return server.layers.Count() == 0;
                         });
  if (all_empty) {
    for (const auto& [name, range] : LayerPlanner::PlanPool(engine, servers)) {
      m_assignments[name].layers = range;
    }
    return;
  }
  RemoveLoadedRanges(servers);
  DetectGaps(engine, servers);
  AssignUncovered(engine, servers);
  RepairWithSpares(engine, servers);
  std::vector<ServerEntry> holders;
  for (const ServerEntry& server : servers) {
    const auto assigned = m_assignments.find(server.name);
    if (server.layers.Count() > 0 || assigned != m_assignments.end()) {
      holders.push_back(server);
      if (assigned != m_assignments.end()) {
        holders.back().layers = assigned->second.layers;
      }
    }
  }
  for (const ServerEntry& server : servers) {
    if (server.layers.Count() > 0 || m_assignments.contains(server.name)) {
      continue;
    }
    const TimePoint since = m_empty_since.emplace(server.name, m_parts.clock.Now()).first->second;
    if (m_parts.clock.Now() - since < kReplacementWait) {
      continue;
    }
    if (const auto range = LayerPlanner::RangeFor(engine, server, holders)) {
      m_late_engines.insert(server.name);
      m_assignments[server.name].layers = *range;
      holders.push_back(server);
      holders.back().layers = *range;
    }
  }
}

/** A server crashes if it is ordered to hold more than its memory. An assignment that fitted when
   it was made may not fit any more: the configuration has changed, or the server returned with
   another accelerator. */
void LayerPlacer::WithdrawBeyondMemory(const EngineProfile& engine,
                                       const std::vector<ServerEntry>& servers) {
  for (const ServerEntry& server : servers) {
    const auto found = m_assignments.find(server.name);
    if (found == m_assignments.end() || CanHold(engine, server, found->second.layers)) {
      continue;
    }
    m_logger.Log(LogLevel::kWarning, "assignment_beyond_memory",
                 {{"server", server.name},
                  {"layers", RangeText(found->second.layers)},
                  {"accelerator", server.accelerator},
                  {"most_layers", std::to_string(engine.MostLayers(server.accelerator))}});
    m_assignments.erase(found);
    m_layers_before_repair.erase(server.name);
    for (UncoveredRange& uncovered_range : m_uncovered) {
      std::erase(uncovered_range.spares, server.name);
      if (uncovered_range.assigned_to == server.name) {
        uncovered_range.assigned_to.reset();
      }
    }
  }
}

void LayerPlacer::SendOrders(const std::vector<ServerEntry>& servers) {
  const TimePoint now = m_parts.clock.Now();
  for (const ServerEntry& server : servers) {
    const auto found = m_assignments.find(server.name);
    if (found == m_assignments.end() || server.layers == found->second.layers) {
      continue;
    }
    Assignment& assignment = found->second;
    const Duration again = assignment.accepted ? kAcceptedOrderRetryInterval : kOrderRetryInterval;
    const bool due = !assignment.sent_at || now - *assignment.sent_at >= again;
    if (!due || !MayOrder()) {
      continue;
    }
    assignment.sent_at = now;
    assignment.accepted = false;
    m_logger.Log(LogLevel::kInfo, "order_layers",
                 {{"server", server.name},
                  {"layers", RangeText(assignment.layers)},
                  {"accelerator", server.accelerator},
                  {"failure_domain", server.failure_domain},
                  {"fencing_number", std::to_string(m_role.Epoch())}});
    m_orders.Place(server, assignment.layers, m_role.Epoch(),
                   WhileAlive(m_alive, [this, name = server.name](const Result<void>& result) {
                     OnOrderResult(name, result);
                   }));
  }
}

void LayerPlacer::OnOrderResult(const BackendServerName& server, const Result<void>& result) {
  const auto found = m_assignments.find(server);
  if (result) {
    if (found != m_assignments.end()) {
      found->second.accepted = true;
    }
    return;
  }
  m_logger.Log(LogLevel::kWarning, "order_failed",
               {{"server", server}, {"reason", Describe(result.error())}});
  if (result.error().kind == ErrorKind::kStaleEpoch) {
    m_role.StepDown("an engine has seen a higher fencing number");
  }
}

}  // namespace zinnia
