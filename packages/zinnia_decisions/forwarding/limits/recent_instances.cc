#include "zinnia_decisions/forwarding/limits/recent_instances.h"

namespace zinnia {
namespace {

// Longer than a planned restart takes.
constexpr Duration kRetentionAfterLastSeen = std::chrono::seconds(10);

}  // namespace

std::shared_ptr<const std::vector<Instance>> RecentInstances::Update(
    const std::vector<Instance>& live) {
  const TimePoint now = m_clock.Now();
  for (const Instance& instance : live) {
    m_seen[instance.name] = {instance, now};
  }
  std::erase_if(
      m_seen, [now](const auto& entry) { return now - entry.second.at > kRetentionAfterLastSeen; });
  std::vector<Instance> instances;
  instances.reserve(m_seen.size());
  for (const auto& [name, seen] : m_seen) {
    instances.push_back(seen.instance);
  }
  if (!m_instances || *m_instances != instances) {
    m_instances = std::make_shared<const std::vector<Instance>>(std::move(instances));
  }
  return m_instances;
}

}  // namespace zinnia
