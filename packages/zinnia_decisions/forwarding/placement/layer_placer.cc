#include "zinnia_decisions/forwarding/placement/layer_placer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/paths/path_finder.h"
#include "zinnia_decisions/once/alive_guard.h"
#include "zinnia_decisions/ports/layer_orders.h"

namespace zinnia {
namespace {

/** A pool is planned whole only when no engine has come for this long: engines of one start
   register within a second, and a plan for the first few would fit none of the rest. */
constexpr Duration kSettleTime = std::chrono::milliseconds(700);

/** After this an order without an answer is sent again. */
constexpr Duration kOrderAgainAfter = std::chrono::seconds(2);

/** After this an accepted order that shows no effect is sent again; the longest loads take four
    seconds, twice that when five share the weights' store. */
constexpr Duration kAcceptedAgainAfter = std::chrono::seconds(9);

/** A vacant range is shared out among spares after this time: a crashed engine is back in some four
    seconds and then loads for three, while spares load small ranges in less than one. */
constexpr Duration kRepairAfter = std::chrono::milliseconds(400);

/** Layers without a holder for this long are vacant, though nobody was seen to leave: an engine
   that changes its layers shows none for less. */
constexpr Duration kGapBelieved = std::chrono::milliseconds(1'000);

/** The same while an engine of the failure domain holds nothing: it may be loading them, for an
    earlier holder of the orders, and the longest loads take four seconds. */
constexpr Duration kGapBesideEmptyEngine = std::chrono::seconds(5);

/** An engine that comes while nothing is vacant waits so long for a range: when engines are
   replaced, the new one comes first and the old one leaves a moment later. */
constexpr Duration kWaitForVacancy = std::chrono::milliseconds(1'500);

/** Old vacancies go when there are more; no pool waits for so many replacements. */
constexpr std::size_t kMostVacancies = 64;

/** A layer with less than this part of the room that the layers of its failure domain usually have
    binds all requests there: two slow engines that stand in for one fast one have room for some 36
    thousand tokens, by the profile, where the other stages have 98 to 208. Worst of twenty days
   0.617 before, 0.648 so; the mean did not change (0.774, 0.772). */
constexpr double kLeastShareOfUsualRoom = 0.5;

/** Part of a spare's memory that weights of a vacant range may take at first choice, and at most.
 */
constexpr double kUsualWeightShare = 0.5;
constexpr double kMostWeightShare = 0.8;

/** What a layer must have room for, so that it does not keep the others' room from being used. */
double LeastRoom(std::vector<double> room) {
  const auto middle = room.begin() + static_cast<std::ptrdiff_t>(room.size() / 2);
  std::nth_element(room.begin(), middle, room.end());
  return *middle * kLeastShareOfUsualRoom;
}

/** The runs of layers of `range` with less room than `least`, or none. */
std::vector<LayerRange> RangesBelow(const std::vector<double>& room,
                                    double least,
                                    const LayerRange& range) {
  std::vector<LayerRange> missing;
  for (std::uint32_t layer = range.first; layer < range.end && layer < room.size(); ++layer) {
    if (room[layer] > 0 && room[layer] >= least) {
      continue;
    }
    if (missing.empty() || missing.back().end != layer) {
      missing.push_back({layer, layer});
    }
    missing.back().end = layer + 1;
  }
  return missing;
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

void LayerPlacer::TickRole(bool role_is_taken) {
  if (m_role.IsHeld() || !role_is_taken) {
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
  std::vector<ServerEntry> servers;
  for (const auto& [name, server] : view.servers) {
    if (server.service == m_service && !server.draining) {
      servers.push_back(server);
    }
  }
  NoteVacancies(view);
  m_seen.clear();
  std::erase_if(m_empty_since,
                [&](const auto& entry) { return !view.servers.contains(entry.first); });
  for (const ServerEntry& server : servers) {
    m_seen[server.name] = server;
  }
  if (!MayOrder() || !IsSettled(servers)) {
    return;
  }
  Assign(*service->second.engine, servers);
  SendOrders(servers);
}

bool LayerPlacer::MayOrder() const {
  return m_role.MaySend() &&
         (m_settings.engines_check_fencing || m_parts.clock.Now() >= m_role.UncheckedFrom());
}

void LayerPlacer::NoteVacancies(const ForwardingView& view) {
  for (const auto& [name, server] : m_seen) {
    const auto now = view.servers.find(name);
    if (now != view.servers.end() && !now->second.draining) {
      NoteEmptied(server, now->second);
      continue;
    }
    const auto assigned = m_assignments.find(name);
    ServerEntry left = server;
    if (assigned != m_assignments.end()) {
      left.layers = assigned->second.layers;
      m_assignments.erase(assigned);
    }
    // A stalled engine's range was given out when it fell silent.
    const bool known_vacant = m_stalled.erase(name) > 0;
    if (left.layers.Count() > 0 && !known_vacant) {
      m_vacancies.push_back({std::move(left), m_parts.clock.Now(), {}});
    }
    m_repairing.erase(name);
    m_extras.erase(name);
    for (Vacancy& vacancy : m_vacancies) {
      std::erase(vacancy.shared_by, name);
    }
  }
  if (m_vacancies.size() > kMostVacancies) {
    m_vacancies.erase(m_vacancies.begin());
  }
}

/** A server that held layers holds none: it started again while the store is away, so that only its
    own word shows it. Its range would wait as a gap for seconds; it is to have it back at once. */
void LayerPlacer::NoteEmptied(const ServerEntry& before, const ServerEntry& now) {
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
  if (servers.size() != m_last_count) {
    m_last_count = servers.size();
    m_last_change = m_parts.clock.Now();
  }
  return any_holds || m_parts.clock.Now() - m_last_change >= kSettleTime;
}

/** The tokens that it has room for in each layer that it holds or is to hold. */
double LayerPlacer::RoomPerLayer(const EngineProfile& engine, const ServerEntry& server) const {
  ServerEntry planned = server;
  planned.layers = PlannedLayers(server);
  const std::uint32_t count = planned.layers.Count();
  return count == 0 ? 0.0 : TokenLayerCapacity(engine, planned) / count;
}

std::vector<double> LayerPlacer::RoomByLayer(const FailureDomainName& domain,
                                             const EngineProfile& engine,
                                             const std::vector<ServerEntry>& servers) const {
  std::vector<double> room(engine.layers, 0.0);
  for (const ServerEntry& server : servers) {
    if (server.failure_domain != domain || m_stalled.contains(server.name)) {
      continue;
    }
    const LayerRange layers = PlannedLayers(server);
    for (std::uint32_t layer = layers.first; layer < std::min(layers.end, engine.layers); ++layer) {
      room[layer] += RoomPerLayer(engine, server);
    }
  }
  return room;
}

/** Layers of a failure domain that its engines do not hold, or with much less room than the others.
    Nothing if more than half are not held: such a pool has its chains across failure domains. */
std::vector<LayerRange> LayerPlacer::GapsOf(const FailureDomainName& domain,
                                            const EngineProfile& engine,
                                            const std::vector<ServerEntry>& servers) const {
  const std::vector<double> room = RoomByLayer(domain, engine, servers);
  if (std::count(room.begin(), room.end(), 0.0) * 2 > static_cast<std::int64_t>(engine.layers)) {
    return {};
  }
  return RangesBelow(room, LeastRoom(room), {0, engine.layers});
}

bool LayerPlacer::IsVacant(const FailureDomainName& domain, const LayerRange& layers) const {
  return std::any_of(m_vacancies.begin(), m_vacancies.end(), [&](const Vacancy& vacancy) {
    return vacancy.left.failure_domain == domain && vacancy.left.layers.first < layers.end &&
           layers.first < vacancy.left.layers.end;
  });
}

/** Who held a missing range is not known. Counted as the slowest kind but one of its failure
   domain, it is given to the slowest alone: engines of faster kinds are the stages of its chain. */
std::string LayerPlacer::KindAboveSlowest(const EngineProfile& engine,
                                          const FailureDomainName& domain,
                                          const std::vector<ServerEntry>& servers) {
  std::map<double, std::string, std::greater<>> kinds;
  for (const ServerEntry& server : servers) {
    const auto found = engine.accelerators.find(server.accelerator);
    if (server.failure_domain == domain && found != engine.accelerators.end()) {
      kinds[found->second.step_factor] = server.accelerator;
    }
  }
  if (kinds.empty()) {
    return {};
  }
  return kinds.size() == 1 ? kinds.begin()->second : std::next(kinds.begin())->second;
}

/** Finds vacancies that this instance has not seen arise: an engine left while nobody held the
    orders, or before the holder started. One missing layer takes a whole failure domain's chain out
    of service, and nothing else would show it. */
void LayerPlacer::NoteGaps(const EngineProfile& engine, const std::vector<ServerEntry>& servers) {
  const TimePoint now = m_parts.clock.Now();
  std::map<FailureDomainName, bool> has_empty;
  for (const ServerEntry& server : servers) {
    const bool is_empty = server.layers.Count() == 0;
    has_empty[server.failure_domain] = has_empty[server.failure_domain] || is_empty;
  }
  std::map<std::pair<FailureDomainName, std::uint32_t>, TimePoint> still;
  for (const auto& [domain, empty_engine] : has_empty) {
    for (const LayerRange& gap : GapsOf(domain, engine, servers)) {
      if (IsVacant(domain, gap)) {
        continue;
      }
      const auto key = std::make_pair(domain, gap.first);
      const auto known = m_gaps_since.find(key);
      const TimePoint since = known == m_gaps_since.end() ? now : known->second;
      if (now - since < (empty_engine ? kGapBesideEmptyEngine : kGapBelieved)) {
        still[key] = since;
        continue;
      }
      ServerEntry left;
      left.service = m_service;
      left.failure_domain = domain;
      left.accelerator = KindAboveSlowest(engine, domain, servers);
      left.layers = gap;
      m_logger.Log(LogLevel::kInfo, "layers_missing",
                   {{"failure_domain", domain},
                    {"layers", std::to_string(gap.first) + "-" + std::to_string(gap.end)}});
      m_vacancies.push_back({std::move(left), now, {}});
    }
  }
  m_gaps_since = std::move(still);
}

/** A server that came back after a crash, or its replacement, takes the range that was left, also
    when slower ones share it by now: they are spares again. A server that started again goes first
    for what it held itself: its neighbours are fitted to that range. */
void LayerPlacer::AssignVacated(const std::vector<ServerEntry>& servers) {
  const auto is_free = [&](const ServerEntry& server) {
    return server.layers.Count() == 0 && !m_assignments.contains(server.name);
  };
  for (const ServerEntry& server : servers) {
    const auto own =
        std::find_if(m_vacancies.begin(), m_vacancies.end(), [&](const Vacancy& candidate) {
          return !server.registration.empty() && candidate.left.registration == server.registration;
        });
    if (is_free(server) && own != m_vacancies.end()) {
      TakeOver(server, own);
    }
  }
  for (const ServerEntry& server : servers) {
    if (!is_free(server)) {
      continue;
    }
    const auto vacancy =
        std::find_if(m_vacancies.begin(), m_vacancies.end(), [&](const Vacancy& candidate) {
          return candidate.left.accelerator == server.accelerator &&
                 candidate.left.failure_domain == server.failure_domain;
        });
    if (vacancy != m_vacancies.end()) {
      TakeOver(server, vacancy);
    }
  }
}

void LayerPlacer::TakeOver(const ServerEntry& server, std::vector<Vacancy>::iterator vacancy) {
  m_assignments[server.name].layers = vacancy->left.layers;
  // What they held before is what others may need next; left where they are, each loss would leave
  // the pool with fewer holders of some layer.
  for (const BackendServerName& name : vacancy->shared_by) {
    const auto spare = m_repairing.find(name);
    if (spare != m_repairing.end()) {
      m_assignments[name] = {spare->second, {}, false};
      m_repairing.erase(spare);
    }
  }
  m_vacancies.erase(vacancy);
}

/** Engines of the same failure domain that it can do without: others there hold each of their
    layers. The slowest come first, and with them the cheapest to take out of service. */
std::vector<const ServerEntry*> LayerPlacer::SparesFor(
    const ServerEntry& left,
    const EngineProfile& engine,
    const std::vector<ServerEntry>& servers) const {
  const auto speed = [&](const ServerEntry& server) {
    const auto found = engine.accelerators.find(server.accelerator);
    return found == engine.accelerators.end() ? 0.0 : found->second.step_factor;
  };
  std::vector<const ServerEntry*> candidates;
  std::vector<double> room = RoomByLayer(left.failure_domain, engine, servers);
  const double least = LeastRoom(room);
  for (const ServerEntry& server : servers) {
    if (server.failure_domain != left.failure_domain || server.layers.end > engine.layers ||
        m_stalled.contains(server.name)) {
      continue;
    }
    // Taking an equally fast engine out of another chain would only move the gap there.
    const bool worth_taking = speed(server) > speed(left) || m_extras.contains(server.name);
    if (worth_taking && server.layers.Count() > 0 && !m_repairing.contains(server.name)) {
      candidates.push_back(&server);
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const auto* one, const auto* other) { return speed(*one) > speed(*other); });
  std::vector<const ServerEntry*> spares;
  for (const ServerEntry* server : candidates) {
    const LayerRange planned = PlannedLayers(*server);
    const double own = RoomPerLayer(engine, *server);
    const bool needed =
        std::any_of(room.begin() + planned.first, room.begin() + planned.end,
                    [&](double tokens) { return tokens - own <= std::max(0.0, least - 1.0); });
    if (needed) {
      continue;
    }
    spares.push_back(server);
    for (std::uint32_t layer = planned.first; layer < planned.end; ++layer) {
      room[layer] -= own;
    }
  }
  return spares;
}

void LayerPlacer::NoteStalled(const BackendServerName& server) {
  const auto seen = m_seen.find(server);
  if (seen == m_seen.end() || seen->second.layers.Count() == 0 ||
      !m_stalled.insert(server).second) {
    return;
  }
  m_vacancies.push_back({seen->second, m_parts.clock.Now(), {}});
}

void LayerPlacer::RepairWithSpares(const EngineProfile& engine,
                                   const std::vector<ServerEntry>& servers) {
  for (Vacancy& vacancy : m_vacancies) {
    if (m_parts.clock.Now() - vacancy.since < kRepairAfter) {
      continue;
    }
    // Where others of the failure domain hold the layers too and have room, requests go on there,
    // and moving engines would only take layers from others.
    const auto room = RoomByLayer(vacancy.left.failure_domain, engine, servers);
    for (const LayerRange& missing : RangesBelow(room, LeastRoom(room), vacancy.left.layers)) {
      ShareOut(vacancy, missing, engine, servers);
    }
  }
}

/** The layers that it holds, or is to hold. */
LayerRange LayerPlacer::PlannedLayers(const ServerEntry& server) const {
  const auto assigned = m_assignments.find(server.name);
  return assigned == m_assignments.end() ? server.layers : assigned->second.layers;
}

bool LayerPlacer::ShareOut(Vacancy& vacancy,
                           const LayerRange& missing,
                           const EngineProfile& engine,
                           const std::vector<ServerEntry>& servers) {
  const ServerEntry& left = vacancy.left;
  std::vector<const ServerEntry*> spares = SparesFor(left, engine, servers);
  const auto found = std::find_if(spares.begin(), spares.end(), [&](const ServerEntry* spare) {
    return spare->accelerator == left.accelerator;
  });
  const bool alike = found != spares.end();
  if (alike) {
    spares = {*found};
  }
  if (spares.empty()) {
    return false;
  }
  const double weights = missing.Count() * engine.layer_mb;
  const double memory = engine.accelerators.at(spares.front()->accelerator).memory_mb;
  const double share = alike ? 1.0 : kUsualWeightShare;
  const auto wanted = static_cast<std::size_t>(std::ceil(weights / (memory * share)));
  const std::size_t count = std::min(wanted, spares.size());
  const double most_share = alike ? 1.0 : kMostWeightShare;
  if (weights > static_cast<double>(count) * memory * most_share) {
    return false;
  }
  for (std::size_t index = 0; index < count; ++index) {
    const auto boundary = [&](std::size_t part) {
      return missing.first + static_cast<std::uint32_t>(missing.Count() * part / count);
    };
    m_assignments[spares[index]->name] = {{boundary(index), boundary(index + 1)}, {}, false};
    m_repairing[spares[index]->name] = spares[index]->layers;
    vacancy.shared_by.push_back(spares[index]->name);
  }
  return true;
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
  NoteGaps(engine, servers);
  AssignVacated(servers);
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
    if (m_parts.clock.Now() - since < kWaitForVacancy) {
      continue;
    }
    if (const auto range = LayerPlanner::RangeFor(engine, server, holders)) {
      m_extras.insert(server.name);
      m_assignments[server.name].layers = *range;
      holders.push_back(server);
      holders.back().layers = *range;
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
    const Duration again = assignment.accepted ? kAcceptedAgainAfter : kOrderAgainAfter;
    const bool due = !assignment.sent_at || now - *assignment.sent_at >= again;
    if (!due || !MayOrder()) {
      continue;
    }
    assignment.sent_at = now;
    assignment.accepted = false;
    m_logger.Log(LogLevel::kInfo, "order_layers",
                 {{"server", server.name},
                  {"layers", std::to_string(assignment.layers.first) + "-" +
                                 std::to_string(assignment.layers.end)},
                  {"accelerator", server.accelerator},
                  {"failure_domain", server.failure_domain},
                  {"fencing_number", std::to_string(m_role.Epoch())}});
    m_orders.Place(server, assignment.layers, m_role.Epoch(),
                   WhileAlive(m_alive, [this, name = server.name](const Result<void>& result) {
                     OnAnswer(name, result);
                   }));
  }
}

void LayerPlacer::OnAnswer(const BackendServerName& server, const Result<void>& result) {
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
