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
#include "zinnia_decisions/admission/return_planner.h"
#include "zinnia_decisions/admission/service_meter.h"

namespace zinnia {

/** Admits by weighted fair shares and refuses at once whatever cannot be in time.

    Work enters a pool while its cost fits beside what runs. Otherwise it waits in a FairQueue, but
    only if its predicted wait (cost ahead of it over the measured drain rate) and its service time
    end before its deadline and within the longest wait. Work that turns out hopeless while it waits
    is refused then, before it runs. A pool whose capacity was never set admits everything that the
    contracts allow.

    Grants may outlive the controller. Work that still waits when it is destroyed hears nothing.

    @see FairQueue, ReturnPlanner, ServiceMeter, OrganisationLimits
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
  void RefuseHopeless(Pool& pool);

  const Clock& m_clock;
  Scheduler& m_scheduler;
  RandomSource m_random;
  const AdmissionSettings m_settings;
  OrganisationLimits m_limits;
  std::map<std::string, std::unique_ptr<Pool>> m_pools;
  std::shared_ptr<FairAdmissionController*> m_self;
};

}  // namespace zinnia
