#include "zinnia_decisions/forwarding/observed_state/relay_directory.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "zinnia_decisions/forwarding/observed_state/instance_directory.h"

namespace zinnia {
namespace {

/** An excluded instance is tried again after this time. The record of a dead one lapses earlier. */
constexpr Duration kExclusionDuration = std::chrono::seconds(30);

bool RanksHigher(const Instance* one, const Instance* other) {
  return std::tie(other->link_mbps, other->cores, one->name) <
         std::tie(one->link_mbps, one->cores, other->name);
}

template <typename Predicate>
std::vector<Instance> FirstOf(const std::vector<const Instance*>& ranked,
                              std::size_t count,
                              Predicate is_excluded) {
  std::vector<Instance> first;
  for (const Instance* instance : ranked) {
    if (first.size() < count && !is_excluded(*instance, first.size())) {
      first.push_back(*instance);
    }
  }
  return first;
}

/** Appends the instances that would be relays if nobody were excluded, and are none. */
void AppendMissing(const std::vector<const Instance*>& ranked,
                   const std::vector<Instance>& relays,
                   std::vector<Instance>& missing) {
  for (const Instance& first : FirstOf(ranked, RelayDirectory::kRelaysPerDomain,
                                       [](const Instance&, std::size_t) { return false; })) {
    const bool is_relay = std::any_of(relays.begin(), relays.end(), [&](const Instance& relay) {
      return relay.name == first.name;
    });
    if (!is_relay) {
      missing.push_back(first);
    }
  }
}

}  // namespace

void RelayDirectory::Refresh(Duration silence_limit) {
  const Instance& self = m_instances.Self();
  std::map<FailureDomainName, std::vector<const Instance*>> domains;
  for (const Instance& instance : m_instances.Live()) {
    domains[instance.failure_domain].push_back(&instance);
  }
  m_own_relays.clear();
  m_remote_relays.clear();
  m_silent_remote_relays.clear();
  m_members.clear();
  const bool was_relay = m_is_relay;
  m_is_relay = false;
  const auto expected_before = std::exchange(m_expected_since, {});
  std::vector<std::vector<Instance>> relays;
  for (auto& [domain, ranked] : domains) {
    std::sort(ranked.begin(), ranked.end(), RanksHigher);
    const bool is_own = domain == self.failure_domain;
    const auto is_excluded = [&](const Instance& instance, std::size_t rank) {
      // Both relays send to the members of their domain, the first also to the relays of others.
      const bool should_send = is_own || (was_relay && rank == 0);
      return should_send && instance.name != self.name &&
             IsSilent(instance, expected_before, silence_limit);
    };
    relays.push_back(FirstOf(ranked, kRelaysPerDomain, is_excluded));
    for (const Instance& relay : relays.back()) {
      const bool is_self = relay.name == self.name;
      m_is_relay = m_is_relay || is_self;
      if (!is_self) {
        (is_own ? m_own_relays : m_remote_relays).push_back(relay);
      }
    }
    if (!is_own) {
      AppendMissing(ranked, relays.back(), m_silent_remote_relays);
    }
    if (is_own) {
      m_is_first_relay = !relays.back().empty() && relays.back().front().name == self.name;
    }
    for (const Instance* member : ranked) {
      if (is_own && member->name != self.name) {
        m_members.push_back(*member);
      }
    }
  }
  std::vector<InstanceName> watchers;
  for (std::size_t rank = 0; rank < kRelaysPerDomain; ++rank) {
    for (const std::vector<Instance>& of_domain : relays) {
      if (rank < of_domain.size() && watchers.size() < kStoreWatchersPerFleet) {
        watchers.push_back(of_domain[rank].name);
      }
    }
  }
  const auto own_watch = std::find(watchers.begin(), watchers.end(), self.name);
  m_store_watch_rank = static_cast<std::size_t>(own_watch - watchers.begin());
  m_store_watchers = watchers.size();
  std::erase_if(m_excluded_at, [&](const auto& entry) {
    return m_clock.Now() - entry.second > kExclusionDuration;
  });
}

bool RelayDirectory::IsSilent(const Instance& instance,
                              const Times& expected_before,
                              Duration silence_limit) {
  const TimePoint now = m_clock.Now();
  const TimePoint* last_seen = m_instances.LastSeen(instance.name);
  const auto excluded = m_excluded_at.find(instance.name);
  if (excluded != m_excluded_at.end()) {
    if (last_seen == nullptr || *last_seen <= excluded->second) {
      return true;
    }
    m_excluded_at.erase(excluded);
  }
  const auto expected = expected_before.find(instance.name);
  TimePoint since = expected == expected_before.end() ? now : expected->second;
  m_expected_since[instance.name] = since;
  if (last_seen != nullptr) {
    since = std::max(since, *last_seen);
  }
  if (now - since < silence_limit) {
    return false;
  }
  m_excluded_at[instance.name] = now;
  m_expected_since.erase(instance.name);
  return true;
}

}  // namespace zinnia
