#include "zinnia_decisions/forwarding/beliefs/instance_directory.h"

#include <utility>

namespace zinnia {

InstanceDirectory::InstanceDirectory(const Clock& clock, Instance self)
    : m_clock(clock), m_self(std::move(self)) {}

void InstanceDirectory::OnHeard(const Instance& instance) {
  if (instance.name != m_self.name) {
    m_heard[instance.name] = {instance, m_clock.Now()};
  }
}

void InstanceDirectory::OnLeft(const InstanceName& name) {
  m_heard.erase(name);
  m_recorded.erase(name);
}

std::vector<Instance> InstanceDirectory::LiveInstances() const {
  std::map<InstanceName, Instance> live = m_recorded;
  for (const auto& [name, heard] : m_heard) {
    if (m_clock.Now() - heard.at < kHeardLifetime) {
      live[name] = heard.instance;
    }
  }
  live[m_self.name] = m_self;
  std::vector<Instance> sorted;
  sorted.reserve(live.size());
  for (const auto& [name, instance] : live) {
    sorted.push_back(instance);
  }
  return sorted;
}

std::vector<Instance> InstanceDirectory::Peers() const {
  std::vector<Instance> peers = LiveInstances();
  std::erase_if(peers, [this](const Instance& instance) { return instance.name == m_self.name; });
  return peers;
}

}  // namespace zinnia
