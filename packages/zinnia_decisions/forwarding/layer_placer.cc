#include "zinnia_decisions/forwarding/layer_placer.h"

#include <algorithm>
#include <utility>

#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/once/alive_guard.h"
#include "zinnia_decisions/ports/layer_orders.h"

namespace zinnia {
namespace {

/** A pool is planned whole only when no engine has come for this long: engines of one start register
    within a second, and a plan for the first few would fit none of the rest. */
constexpr Duration kSettleTime = std::chrono::milliseconds(700);

/** After this an order without an answer, or without effect, is sent again. */
constexpr Duration kOrderAgainAfter = std::chrono::seconds(3);

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

void LayerPlacer::TickRole() {
  m_role.Tick(0);
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
  for (const auto& [name, server] : m_seen) {
    const auto now = view.servers.find(name);
    if ((now == view.servers.end() || now->second.draining) && server.layers.Count() > 0) {
      m_vacated.push_back(server);
      m_assignments.erase(name);
    }
  }
  m_seen.clear();
  for (const ServerEntry& server : servers) {
    m_seen[server.name] = server;
  }
  if (!m_role.MaySend() || !IsSettled(servers)) {
    return;
  }
  Assign(*service->second.engine, servers);
  SendOrders(servers);
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

/** A server that came back after a crash, or its replacement, takes the range that was left. */
void LayerPlacer::AssignVacated(const std::vector<ServerEntry>& servers) {
  for (const ServerEntry& server : servers) {
    if (server.layers.Count() > 0 || m_assignments.contains(server.name)) {
      continue;
    }
    auto left = std::find_if(m_vacated.begin(), m_vacated.end(), [&](const ServerEntry& gone) {
      return gone.accelerator == server.accelerator &&
             gone.failure_domain == server.failure_domain;
    });
    if (left != m_vacated.end()) {
      m_assignments[server.name].layers = left->layers;
      m_vacated.erase(left);
    }
  }
}

void LayerPlacer::Assign(const EngineProfile& engine, const std::vector<ServerEntry>& servers) {
  const bool all_empty =
      m_assignments.empty() &&
      std::all_of(servers.begin(), servers.end(),
                  [](const ServerEntry& server) { return server.layers.Count() == 0; });
  if (all_empty) {
    for (const auto& [name, range] : LayerPlanner::PlanPool(engine, servers)) {
      m_assignments[name].layers = range;
    }
    return;
  }
  AssignVacated(servers);
  std::vector<ServerEntry> holders;
  for (const ServerEntry& server : servers) {
    const auto assigned = m_assignments.find(server.name);
    if (server.layers.Count() > 0 || assigned != m_assignments.end()) {
      holders.push_back(server);
      holders.back().layers =
          server.layers.Count() > 0 ? server.layers : assigned->second.layers;
    }
  }
  for (const ServerEntry& server : servers) {
    if (server.layers.Count() > 0 || m_assignments.contains(server.name)) {
      continue;
    }
    if (const auto range = LayerPlanner::RangeFor(engine, server, holders)) {
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
    if (found == m_assignments.end() || server.layers.Count() > 0) {
      continue;
    }
    Assignment& assignment = found->second;
    const bool due = !assignment.sent_at || (!assignment.accepted &&
                                             now - *assignment.sent_at >= kOrderAgainAfter);
    if (!due || !m_role.MaySend()) {
      continue;
    }
    assignment.sent_at = now;
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
