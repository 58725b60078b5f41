#include "zinnia_decisions/forwarding/paths/service_classes.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "zinnia_world/forwarding/forwarding_rules.h"

namespace zinnia {
namespace {

using RoutePriorities = std::map<ServiceName, std::set<std::uint32_t>>;

bool IsLayeredPool(const ForwardingRules& rules, const ServiceName& service) {
  const auto found = rules.services.find(service);
  return found != rules.services.end() && found->second.engine && found->second.engine->IsLayered();
}

RoutePriorities PrioritiesOfPools(const ForwardingRules& rules) {
  RoutePriorities priorities;
  for (const ForwardRoute& route : rules.routes) {
    for (const WeightedService& choice : route.services) {
      if (choice.weight > 0 && IsLayeredPool(rules, choice.service)) {
        priorities[choice.service].insert(route.priority);
      }
    }
  }
  return priorities;
}

std::set<std::uint32_t> OrganisationPriorities(const ForwardingRules& rules) {
  std::set<std::uint32_t> priorities;
  for (const auto& [organisation, priority] : rules.organisation_priorities) {
    priorities.insert(priority);
  }
  if (priorities.empty()) {
    priorities.insert(Urgency().organisation_priority);
  }
  return priorities;
}

}  // namespace

ServiceClasses::ServiceClasses(const ForwardingRules& rules) {
  const std::set<std::uint32_t> organisations = OrganisationPriorities(rules);
  for (const auto& [service, routes] : PrioritiesOfPools(rules)) {
    if (routes.size() < 2) {
      continue;
    }
    std::vector<Urgency>& classes = m_classes[service];
    for (const std::uint32_t organisation : organisations) {
      for (const std::uint32_t route : routes) {
        classes.push_back({organisation, route});
      }
    }
  }
}

std::size_t ServiceClasses::ClassCount(const ServiceName& service) const {
  const auto found = m_classes.find(service);
  return found == m_classes.end() ? 1 : found->second.size();
}

std::size_t ServiceClasses::ClassOf(const ServiceName& service, const Urgency& urgency) const {
  const auto found = m_classes.find(service);
  if (found == m_classes.end()) {
    return 0;
  }
  const std::vector<Urgency>& classes = found->second;
  const auto position =
      std::distance(classes.begin(), std::lower_bound(classes.begin(), classes.end(), urgency));
  return std::min(static_cast<std::size_t>(position), classes.size() - 1);
}

Urgency UrgencyOf(const ForwardingRules& rules,
                  const ForwardRoute& route,
                  const OrganisationName& organisation) {
  Urgency urgency;
  urgency.route_priority = route.priority;
  const auto own = rules.organisation_priorities.find(organisation);
  if (own != rules.organisation_priorities.end()) {
    urgency.organisation_priority = own->second;
  }
  return urgency;
}

}  // namespace zinnia
