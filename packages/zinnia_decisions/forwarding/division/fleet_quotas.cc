#include "zinnia_decisions/forwarding/division/fleet_quotas.h"

#include <utility>

#include "zinnia_decisions/forwarding/division/capacity_division.h"
#include "zinnia_decisions/forwarding/division/server_capacity.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"

namespace zinnia {

FleetQuotas::FleetQuotas(const Clock& clock,
                         const LoadTracker& loads,
                         const CapacityDivision& division,
                         InstanceName self)
    : m_loads(loads),
      m_division(division),
      m_quotas(clock, std::move(self)),
      m_losses(clock, loads) {}

void FleetQuotas::SetQueued(const ServiceName& service, std::size_t requests) {
  if (requests == 0) {
    m_queued.erase(service);
  } else {
    m_queued[service] = requests;
  }
}

ServiceDemand FleetQuotas::DemandOf(const ForwardingView& view, const ServiceName& service) const {
  ServiceDemand demand;
  for (const auto& [name, server] : view.servers) {
    if (server.service == service) {
      demand.running += m_loads.PastOwnUse(name).first_stage_requests;
      demand.others_running += m_loads.ReportedUse(name).first_stage_requests;
    }
  }
  const auto queued = m_queued.find(service);
  demand.queued = queued == m_queued.end() ? 0.0 : static_cast<double>(queued->second);
  return demand;
}

CapacityQuota FleetQuotas::QuotaOf(const ServerCapacity& capacity,
                                   const ServiceDemand& demand,
                                   const std::optional<BackendServerName>& lost,
                                   double quota_share) const {
  const std::optional<double> share_of_loss = lost ? m_losses.ShareOfLoss(*lost) : std::nullopt;
  const double share = share_of_loss ? *share_of_loss : m_division.ShareOf(capacity.server, demand);
  return m_quotas.QuotaOf(capacity, share, m_loads.PastOwnUse(capacity.server),
                          m_loads.ReportedUse(capacity.server), quota_share);
}

}  // namespace zinnia
