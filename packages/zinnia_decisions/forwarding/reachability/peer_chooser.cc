#include "zinnia_decisions/forwarding/reachability/peer_chooser.h"

#include <algorithm>

namespace zinnia {
namespace {

/** A partition lasts for seconds. */
constexpr Duration kExclusion = std::chrono::seconds(2);

}  // namespace

bool PeerChooser::IsPeer(const Instance& instance) const {
  return instance.name != m_self && instance.requests_port != 0;
}

bool PeerChooser::IsExcluded(const InstanceName& peer) const {
  const auto excluded = m_excluded_until.find(peer);
  return excluded != m_excluded_until.end() && m_clock.Now() < excluded->second;
}

bool PeerChooser::HasPeers(const std::vector<Instance>& instances) const {
  return std::any_of(instances.begin(), instances.end(),
                     [this](const Instance& instance) { return IsPeer(instance); });
}

std::optional<Instance> PeerChooser::Choose(const std::vector<Instance>& instances,
                                            const std::set<InstanceName>& avoided) const {
  std::vector<const Instance*> candidates;
  for (const Instance& instance : instances) {
    if (IsPeer(instance) && !avoided.contains(instance.name) && !IsExcluded(instance.name)) {
      candidates.push_back(&instance);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return *candidates[RandomBelow(m_random, candidates.size())];
}

void PeerChooser::Exclude(const InstanceName& peer) {
  const TimePoint now = m_clock.Now();
  std::erase_if(m_excluded_until, [now](const auto& entry) { return entry.second <= now; });
  m_excluded_until[peer] = now + kExclusion;
}

}  // namespace zinnia
