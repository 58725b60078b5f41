#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "zinnia_world/forwarding/urgency.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

struct ForwardingRules;
struct ForwardRoute;

/** The classes of urgency among the requests to each service.

    A service is prioritized if it is a pool of layered engines whose routes have at least two
    different priorities. Only then are its requests admitted by class; all other services are
   served as if every request were equally urgent.
*/
class ServiceClasses {
 public:
  /** No service is prioritized. */
  ServiceClasses() = default;
  explicit ServiceClasses(const ForwardingRules& rules);

  bool HasPrioritized() const { return !m_classes.empty(); }
  bool IsPrioritized(const ServiceName& service) const { return m_classes.contains(service); }

  /** Number of classes of a prioritized service, 1 for all others. */
  std::size_t ClassCount(const ServiceName& service) const;

  /** Position of a request's class, where 0 is the most urgent. An urgency that is not configured
      belongs to the next less urgent class, or to the last one. */
  std::size_t ClassOf(const ServiceName& service, const Urgency& urgency) const;

 private:
  /** Sorted, for prioritized services only. */
  std::map<ServiceName, std::vector<Urgency>> m_classes;
};

/** Organisations without a priority of their own have the most urgent one. */
Urgency UrgencyOf(const ForwardingRules& rules,
                  const ForwardRoute& route,
                  const OrganisationName& organisation);

}  // namespace zinnia
