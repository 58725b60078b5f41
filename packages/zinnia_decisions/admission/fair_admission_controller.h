#pragma once

#include <map>
#include <memory>
#include <string>

#include "zinnia_base/random/random_source.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/admission/admission_controller.h"
#include "zinnia_decisions/admission/admission_settings.h"
#include "zinnia_decisions/admission/fair_queue.h"
#include "zinnia_decisions/admission/organisation_limits.h"
#include "zinnia_decisions/admission/retry_after_planner.h"
#include "zinnia_decisions/admission/service_meter.h"

namespace zinnia {

/** Admits requests by weighted fair shares and refuses those that cannot meet their deadline.

    A request is admitted directly while its cost fits into the pool's free capacity. Otherwise it
    is queued in a FairQueue if its predicted wait (queued cost ahead of it divided by the measured
    drain rate) is within the limit and its service time still meets the deadline. Queued requests
    that can no longer meet it are refused without running. A pool whose capacity was never set
    admits everything that the contracts allow.

    Grants may outlive the controller. Callbacks of requests still queued at its destruction are
    never called.

    @see FairQueue, RetryAfterPlanner, ServiceMeter, OrganisationLimits
*/
class FairAdmissionController final : public AdmissionController {
 public:
  FairAdmissionController(const Clock& clock,
                          Scheduler& scheduler,
                          RandomSource random,
                          AdmissionSettings settings = {});
  ~FairAdmissionController() override;

  void Request(AdmissionRequest request, Callback callback) override;
  void SetPoolCapacity(const std::string& pool, double concurrent_cost) override;
  void SetContract(const Organisation& organisation) override;

 private:
  class Grant;
  struct Pool;

  Pool& PoolOf(const std::string& name);
  bool Fits(const Pool& pool, double cost) const;
  void RequestInPool(Pool& pool, AdmissionRequest request, Callback callback);
  void Admit(Pool& pool, const AdmissionRequest& request, const Callback& callback);
  void Refuse(Pool& pool,
              ErrorKind kind,
              const AdmissionRequest& request,
              const Callback& callback);
  Duration PredictWait(const Pool& pool, const AdmissionRequest& request) const;
  bool WouldMiss(const Pool& pool, const AdmissionRequest& request, Duration wait) const;
  void OnReleased(const AdmissionRequest& request, TimePoint admitted_at);
  void DispatchLater(Pool& pool, Duration delay);
  void Dispatch(Pool& pool);
  void RefuseOverdue(Pool& pool);

  const Clock& m_clock;
  Scheduler& m_scheduler;
  RandomSource m_random;
  const AdmissionSettings m_settings;
  OrganisationLimits m_limits;
  std::map<std::string, std::unique_ptr<Pool>> m_pools;
  std::shared_ptr<FairAdmissionController*> m_self;
};

}  // namespace zinnia
