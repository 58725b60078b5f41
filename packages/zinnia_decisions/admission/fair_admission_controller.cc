#include "zinnia_decisions/admission/fair_admission_controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace zinnia {
namespace {

constexpr Duration kSweepInterval = std::chrono::milliseconds(20);

}  // namespace

struct FairAdmissionController::Pool {
  std::string name;
  double capacity = std::numeric_limits<double>::infinity();
  double last_capacity = std::numeric_limits<double>::infinity();
  double in_use = 0.0;
  FairQueue queue;
  ServiceMeter meter;
  RetryAfterPlanner retry_after_slots;
  std::unique_ptr<ScheduledCall> dispatch;
  TimePoint dispatch_at{};
};

class FairAdmissionController::Grant final : public AdmissionGrant {
 public:
  Grant(std::weak_ptr<FairAdmissionController*> controller,
        AdmissionRequest request,
        TimePoint admitted_at)
      : m_controller(std::move(controller)),
        m_request(std::move(request)),
        m_admitted_at(admitted_at) {}

  ~Grant() override {
    if (const auto controller = m_controller.lock()) {
      (*controller)->OnReleased(m_request, m_admitted_at);
    }
  }

 private:
  const std::weak_ptr<FairAdmissionController*> m_controller;
  const AdmissionRequest m_request;
  const TimePoint m_admitted_at;
};

FairAdmissionController::FairAdmissionController(const Clock& clock,
                                                 Scheduler& scheduler,
                                                 RandomSource random,
                                                 AdmissionSettings settings)
    : m_clock(clock),
      m_scheduler(scheduler),
      m_random(random),
      m_settings(settings),
      m_limits(settings),
      m_self(std::make_shared<FairAdmissionController*>(this)) {}

FairAdmissionController::~FairAdmissionController() = default;

void FairAdmissionController::Request(AdmissionRequest request, Callback callback) {
  const auto retry_delay = m_limits.TryAcquire(request.organisation, m_clock.Now(), m_random);
  if (retry_delay) {
    Error error = MakeError(
        ErrorKind::kRateLimited,
        fmt::format("organisation \"{}\" is at the limit of its contract", request.organisation));
    error.retry_after = *retry_delay;
    callback(error);
    return;
  }
  Pool& pool = PoolOf(request.pool);
  RequestInPool(pool, std::move(request), std::move(callback));
}

void FairAdmissionController::SetPoolCapacity(const std::string& pool, double concurrent_cost) {
  Pool& changed = PoolOf(pool);
  changed.capacity = concurrent_cost;
  if (concurrent_cost > 0.0) {
    changed.last_capacity = concurrent_cost;
  }
  if (!changed.queue.Empty()) {
    DispatchLater(changed, Duration::zero());
  }
}

void FairAdmissionController::SetContract(const Organisation& organisation) {
  m_limits.SetContract(organisation);
}

FairAdmissionController::Pool& FairAdmissionController::PoolOf(const std::string& name) {
  std::unique_ptr<Pool>& pool = m_pools[name];
  if (pool == nullptr) {
    pool = std::make_unique<Pool>(Pool{.name = name,
                                       .meter = ServiceMeter(m_settings),
                                       .retry_after_slots = RetryAfterPlanner(m_settings)});
  }
  return *pool;
}

bool FairAdmissionController::Fits(const Pool& pool, double cost) const {
  const bool alone = pool.in_use <= 0.0 && pool.capacity > 0.0;
  return alone || pool.in_use + cost <= pool.capacity * pool.meter.UsableCapacityShare();
}

void FairAdmissionController::RequestInPool(Pool& pool,
                                            AdmissionRequest request,
                                            Callback callback) {
  if (pool.queue.Empty() && Fits(pool, request.cost)) {
    if (WouldMiss(pool, request, Duration::zero())) {
      Refuse(pool, ErrorKind::kDeadlineUnmeetable, request, callback);
      return;
    }
    pool.queue.OnAdmittedDirectly(request.organisation, request.cost,
                                  m_limits.WeightOf(request.organisation));
    Admit(pool, request, callback);
    return;
  }
  const Duration wait = PredictWait(pool, request);
  const bool full =
      pool.queue.Waiting() >= m_settings.max_waiting_per_pool ||
      pool.queue.WaitingOf(request.organisation) >= m_settings.max_waiting_per_organisation;
  if (full || wait > m_settings.max_wait) {
    Refuse(pool, ErrorKind::kOverloaded, request, callback);
  } else if (WouldMiss(pool, request, wait)) {
    Refuse(pool, ErrorKind::kDeadlineUnmeetable, request, callback);
  } else {
    const double weight = m_limits.WeightOf(request.organisation);
    pool.queue.Push({std::move(request), std::move(callback), m_clock.Now()}, weight);
    pool.meter.SetBusy(m_clock.Now(), true);
    DispatchLater(pool, kSweepInterval);
  }
}

void FairAdmissionController::Admit(Pool& pool,
                                    const AdmissionRequest& request,
                                    const Callback& callback) {
  pool.in_use += request.cost;
  pool.meter.OnAdmitted(request.cost, request.expected_service_time);
  std::unique_ptr<AdmissionGrant> grant = std::make_unique<Grant>(m_self, request, m_clock.Now());
  callback(std::move(grant));
}

void FairAdmissionController::Refuse(Pool& pool,
                                     ErrorKind kind,
                                     const AdmissionRequest& request,
                                     const Callback& callback) {
  m_limits.Release(request.organisation);
  // A pool without capacity has no drain rate; its last non-zero capacity serves as the estimate
  // for the time after it is restored.
  const bool stopped = pool.capacity <= 0.0;
  const double rate =
      pool.meter.DrainRate(m_clock.Now(), stopped ? pool.last_capacity : pool.capacity);
  const Duration earliest = stopped ? Duration::zero() : PredictWait(pool, request);
  Error error = MakeError(
      kind, fmt::format("pool \"{}\" cannot serve the request in time: {} requests are queued",
                        pool.name, pool.queue.Waiting()));
  error.retry_after =
      pool.retry_after_slots.ReserveSlot(m_clock.Now(), PredictWait(pool, request), request.cost,
                                         rate * m_settings.retry_share_of_drain_rate, m_random);
  callback(error);
}

Duration FairAdmissionController::PredictWait(const Pool& pool,
                                              const AdmissionRequest& request) const {
  const double excess_cost = std::max(0.0, pool.in_use + request.cost - pool.capacity);
  const double ahead = pool.queue.CostAhead(request.organisation, request.cost,
                                            m_limits.WeightOf(request.organisation)) +
                       excess_cost;
  const double rate = pool.meter.DrainRate(m_clock.Now(), pool.capacity);
  const double seconds = std::min(3'600.0, ahead / std::max(rate, 1e-9));
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool FairAdmissionController::WouldMiss(const Pool& pool,
                                        const AdmissionRequest& request,
                                        Duration wait) const {
  if (!request.deadline) {
    return false;
  }
  const TimePoint now = m_clock.Now();
  const double used = pool.capacity > 0.0 ? (pool.in_use + request.cost) / pool.capacity : 1.0;
  const Duration service = pool.meter.PredictServiceTime(now, request.expected_service_time, used);
  return now + wait + service > *request.deadline;
}

void FairAdmissionController::OnReleased(const AdmissionRequest& request, TimePoint admitted_at) {
  const TimePoint now = m_clock.Now();
  m_limits.Release(request.organisation);
  Pool& pool = PoolOf(request.pool);
  pool.in_use = std::max(0.0, pool.in_use - request.cost);
  pool.meter.OnFinished(now, request.cost, now - admitted_at, request.expected_service_time);
  if (!pool.queue.Empty()) {
    DispatchLater(pool, Duration::zero());
  }
}

// Dispatches asynchronously because a grant may be destroyed inside any callback.
void FairAdmissionController::DispatchLater(Pool& pool, Duration delay) {
  const TimePoint at = m_clock.Now() + delay;
  if (pool.dispatch != nullptr && pool.dispatch_at <= at) {
    return;
  }
  pool.dispatch_at = at;
  pool.dispatch = m_scheduler.ScheduleAfter(delay, [this, &pool] { Dispatch(pool); });
}

void FairAdmissionController::Dispatch(Pool& pool) {
  const auto this_call = std::move(pool.dispatch);
  RefuseOverdue(pool);
  while (!pool.queue.Empty() && Fits(pool, pool.queue.Next().request.cost)) {
    const QueuedRequest work = pool.queue.PopNext();
    Admit(pool, work.request, work.callback);
  }
  pool.meter.SetBusy(m_clock.Now(), !pool.queue.Empty());
  if (!pool.queue.Empty()) {
    DispatchLater(pool, kSweepInterval);
  }
}

void FairAdmissionController::RefuseOverdue(Pool& pool) {
  const auto overdue = pool.queue.RemoveIf([&](const QueuedRequest& work) {
    return m_clock.Now() - work.queued_at > m_settings.max_wait ||
           WouldMiss(pool, work.request, Duration::zero());
  });
  for (const QueuedRequest& work : overdue) {
    const bool missed = WouldMiss(pool, work.request, Duration::zero());
    const ErrorKind kind = missed ? ErrorKind::kDeadlineUnmeetable : ErrorKind::kOverloaded;
    Refuse(pool, kind, work.request, work.callback);
  }
}

}  // namespace zinnia
