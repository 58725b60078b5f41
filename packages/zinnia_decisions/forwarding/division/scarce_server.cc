#include "zinnia_decisions/forwarding/division/scarce_server.h"

#include <algorithm>
#include <map>
#include <optional>

#include "zinnia_decisions/forwarding/division/fleet_quotas.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"
#include "zinnia_decisions/forwarding/paths/path_finder.h"
#include "zinnia_decisions/forwarding/paths/service_classes.h"

namespace zinnia {
namespace {

ServerUse OwnUse(const LoadTracker& loads, const BackendServerName& server) {
  const auto found = loads.Own().find(server);
  return found == loads.Own().end() ? ServerUse() : found->second;
}

double Utilization(const ServerCapacity& capacity, const ServerUse& total) {
  return std::max(total.first_stage_requests / std::max(1.0, capacity.requests),
                  total.token_layers / std::max(1.0, capacity.token_layers));
}

}  // namespace

std::vector<ScarceServer> FindScarceServers(const ForwardingView& view,
                                            const FleetQuotas& quotas,
                                            const LoadTracker& loads,
                                            std::size_t count) {
  std::vector<ScarceServer> scarce;
  std::map<ServiceName, ServiceDemand> demands;
  for (const auto& [name, server] : view.servers) {
    if (!view.classes || !view.classes->IsPrioritized(server.service)) {
      continue;
    }
    const auto service = view.rules->services.find(server.service);
    if (service == view.rules->services.end() || !service->second.engine) {
      continue;
    }
    if (!demands.contains(server.service)) {
      demands[server.service] = quotas.DemandOf(view, server.service);
    }
    ScarceServer row;
    row.capacity = CapacityOf(*service->second.engine, server);
    row.demand = demands[server.service];
    row.quota = quotas.QuotaOf(row.capacity, row.demand, std::nullopt, 1.0);
    if (!row.quota.requests && !row.quota.token_layers) {
      continue;
    }
    row.own = OwnUse(loads, name);
    const ServerUse others = loads.ReportedUse(name);
    row.total = {row.own.requests + others.requests, row.own.token_layers + others.token_layers,
                 row.own.first_stage_requests + others.first_stage_requests};
    row.utilization = Utilization(row.capacity, row.total);
    scarce.push_back(row);
  }
  std::stable_sort(scarce.begin(), scarce.end(),
                   [](const ScarceServer& one, const ScarceServer& other) {
                     return one.utilization > other.utilization;
                   });
  scarce.resize(std::min(scarce.size(), count));
  return scarce;
}

}  // namespace zinnia
