#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

#include "zinnia_base/random/random_source.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class LoadTracker;
class ServerHealth;
class ServiceAdmission;
struct ForwardingView;

/** State of one class, over all services. */
struct ClassState {
  /** The lowest share and ratio and the sum of waiting requests, over all services. */
  double share = 1.0;
  double served_ratio = 1.0;
  std::size_t waiting = 0;
};

/** The admission of each prioritized service at this instance. */
class ServiceAdmissions {
 public:
  /** All references must outlive the object. */
  ServiceAdmissions(const Clock& clock,
                    RandomSource& random,
                    const LoadTracker& loads,
                    const ServerHealth& health);
  ~ServiceAdmissions();

  /** Returns null for services that are not prioritized. A request keeps what it got when it
      arrived, since a change of the configuration may end or begin the service's priorities. */
  std::shared_ptr<ServiceAdmission> Find(const ForwardingView& view, const ServiceName& service);

  /** By class, for metrics; empty without prioritized services. */
  std::vector<ClassState> Describe(const ForwardingView& view) const;

 private:
  struct Entry {
    std::shared_ptr<ServiceAdmission> admission;
    TimePoint pool_read_at{};
  };

  const Clock& m_clock;
  RandomSource& m_random;
  const LoadTracker& m_loads;
  const ServerHealth& m_health;
  std::map<ServiceName, Entry> m_services;
};

}  // namespace zinnia
