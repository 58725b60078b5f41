#include "zinnia_decisions/forwarding/admission/service_admissions.h"

#include <algorithm>

#include "zinnia_decisions/forwarding/admission/pool_utilization.h"
#include "zinnia_decisions/forwarding/admission/service_admission.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"
#include "zinnia_decisions/forwarding/paths/service_classes.h"

namespace zinnia {
namespace {

/** The loads of other instances are reported about as often. */
constexpr Duration kPoolInterval = std::chrono::milliseconds(500);

PoolUse FindPoolUse(const ForwardingView& view,
                    const ServiceName& service,
                    const LoadTracker& loads) {
  PoolUse use;
  double largest_limit = 0.0;
  double all_room = 0.0;
  for (const auto& [name, server] : view.servers) {
    const bool is_first = server.layers.Count() > 0 && server.layers.first == 0;
    if (server.service != service || server.draining || !is_first) {
      continue;
    }
    all_room += server.most_requests;
    const double requests = loads.UseOf(name).first_stage_requests;
    if (requests > use.largest_requests) {
      use.largest_requests = requests;
      largest_limit = server.most_requests;
    }
  }
  use.other_room = all_room - largest_limit;
  return use;
}

}  // namespace

ServiceAdmissions::ServiceAdmissions(const Clock& clock,
                                     RandomSource& random,
                                     const LoadTracker& loads,
                                     const ServerHealth& health)
    : m_clock(clock), m_random(random), m_loads(loads), m_health(health) {}

ServiceAdmissions::~ServiceAdmissions() = default;

std::shared_ptr<ServiceAdmission> ServiceAdmissions::Find(const ForwardingView& view,
                                                          const ServiceName& service) {
  if (!view.classes || !view.classes->IsPrioritized(service)) {
    m_services.erase(service);
    return nullptr;
  }
  Entry& entry = m_services[service];
  const TimePoint now = m_clock.Now();
  if (!entry.admission) {
    entry.admission = std::make_shared<ServiceAdmission>(m_clock, m_random);
  } else if (now - entry.pool_read_at < kPoolInterval) {
    return entry.admission;
  }
  entry.admission->SetPool(FindPoolUse(view, service, m_loads));
  entry.admission->SetUtilization(FindPoolUtilization(view, service, m_loads, m_health).Ratio());
  entry.pool_read_at = now;
  return entry.admission;
}

std::vector<ClassState> ServiceAdmissions::Describe(const ForwardingView& view) const {
  std::vector<ClassState> states;
  for (const auto& [service, entry] : m_services) {
    const bool is_prioritized = view.classes && view.classes->IsPrioritized(service);
    const std::size_t count = is_prioritized ? view.classes->ClassCount(service) : 0;
    states.resize(std::max(states.size(), count));
    for (std::size_t number = 0; number < count; ++number) {
      ClassState& state = states[number];
      state.share = std::min(state.share, entry.admission->ShareOf(number));
      state.served_ratio = std::min(state.served_ratio, entry.admission->ServedRatio(number));
      state.waiting += entry.admission->Queue().CountOf(number);
    }
  }
  return states;
}

}  // namespace zinnia
