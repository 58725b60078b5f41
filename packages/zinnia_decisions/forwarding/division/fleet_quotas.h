#pragma once

#include <map>
#include <optional>

#include "zinnia_decisions/forwarding/division/capacity_quotas.h"
#include "zinnia_decisions/forwarding/division/loss_shares.h"
#include "zinnia_decisions/forwarding/division/service_demand.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class CapacityDivision;
class LoadTracker;
struct ForwardingView;

/** Quotas of this instance by its demand and that of the others in the reports. */
class FleetQuotas {
 public:
  /** All references must outlive the object. */
  FleetQuotas(const Clock& clock,
              const LoadTracker& loads,
              const CapacityDivision& division,
              InstanceName self);

  /** Call after each report on the use of servers. */
  void OnReports() { m_losses.OnReports(); }

  /** Sets the number of this instance's requests to a service that wait for capacity. */
  void SetQueued(const ServiceName& service, std::size_t requests);

  /** Counts streams at the servers of this service only. */
  ServiceDemand DemandOf(const ForwardingView& view, const ServiceName& service) const;

  /** `lost`: the server whose streams are to be placed; new requests if absent. */
  CapacityQuota QuotaOf(const ServerCapacity& capacity,
                        const ServiceDemand& demand,
                        const std::optional<BackendServerName>& lost,
                        double quota_share) const;

  /** See LossShares. */
  std::optional<double> ShareOfLoss(const BackendServerName& lost) const {
    return m_losses.ShareOfLoss(lost);
  }

 private:
  const LoadTracker& m_loads;
  const CapacityDivision& m_division;
  const CapacityQuotas m_quotas;
  LossShares m_losses;
  std::map<ServiceName, std::size_t> m_queued;
};

}  // namespace zinnia
