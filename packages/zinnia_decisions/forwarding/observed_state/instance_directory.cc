#include "zinnia_decisions/forwarding/observed_state/instance_directory.h"

#include <utility>

namespace zinnia {

InstanceDirectory::InstanceDirectory(const Clock& clock, Instance self)
    : m_clock(clock), m_self(std::move(self)) {}

void InstanceDirectory::OnRecord(const Instance& instance) {
  m_recorded[instance.name] = instance;
  m_forgotten.erase(instance.name);
  m_live.clear();
}

void InstanceDirectory::OnRecordRemoved(const InstanceName& name) {
  m_recorded.erase(name);
  m_live.clear();
}

void InstanceDirectory::OnRecordForgotten(const InstanceName& name) {
  const auto recorded = m_recorded.find(name);
  if (recorded == m_recorded.end()) {
    return;
  }
  m_forgotten[name] = {recorded->second, m_clock.Now()};
  OnRecordRemoved(name);
}

void InstanceDirectory::OnPeerSeen(const Instance& instance) {
  if (instance.name == m_self.name) {
    return;
  }
  SeenPeer& peer = m_seen_peers[instance.name];
  peer.at = m_clock.Now();
  if (peer.instance != instance) {
    peer.instance = instance;
    m_live.clear();
  }
}

void InstanceDirectory::OnPeerLeft(const InstanceName& name) {
  m_seen_peers.erase(name);
  m_forgotten.erase(name);
  m_recorded.erase(name);
  m_live.clear();
}

const std::vector<Instance>& InstanceDirectory::Live() const {
  if (m_live.empty() || m_clock.Now() - m_live_built_at >= kLiveListLifetime) {
    RebuildLive();
  }
  return m_live;
}

void InstanceDirectory::RebuildLive() const {
  std::map<InstanceName, const Instance*> live;
  for (const auto& [name, instance] : m_recorded) {
    live[name] = &instance;
  }
  for (const std::map<InstanceName, SeenPeer>* peers : {&m_forgotten, &m_seen_peers}) {
    for (const auto& [name, peer] : *peers) {
      if (m_clock.Now() - peer.at < kPeerLifetime) {
        live[name] = &peer.instance;
      }
    }
  }
  live[m_self.name] = &m_self;
  m_live.clear();
  m_live.reserve(live.size());
  for (const auto& [name, instance] : live) {
    m_live.push_back(*instance);
  }
  m_live_built_at = m_clock.Now();
}

const TimePoint* InstanceDirectory::LastSeen(const InstanceName& name) const {
  const auto found = m_seen_peers.find(name);
  return found == m_seen_peers.end() ? nullptr : &found->second.at;
}

}  // namespace zinnia
