#include "zinnia_decisions/forwarding/observed_state/member_loads.h"

#include <algorithm>
#include <utility>

namespace zinnia {

void MemberLoads::Set(const InstanceName& member, LoadTracker::Uses uses) {
  m_members[member] = {m_clock.Now(), std::move(uses)};
}

LoadTracker::Uses MemberLoads::Sum(const LoadTracker::Uses& own) {
  std::erase_if(m_members, [now = m_clock.Now()](const auto& member) {
    return now - member.second.first > LoadTracker::kReportLifetime;
  });
  LoadTracker::Uses sum = own;
  for (const auto& [member, reported] : m_members) {
    for (const auto& [server, use] : reported.second) {
      ServerUse& total = sum[server];
      total.requests += use.requests;
      total.token_layers += use.token_layers;
      total.first_stage_requests += use.first_stage_requests;
    }
  }
  return sum;
}

LoadTracker::Uses MemberLoads::SumWithout(const InstanceName& member,
                                          const LoadTracker::Uses& sum) const {
  LoadTracker::Uses others = sum;
  const auto found = m_members.find(member);
  if (found == m_members.end()) {
    return others;
  }
  for (const auto& [server, use] : found->second.second) {
    const auto total = others.find(server);
    if (total == others.end()) {
      continue;
    }
    total->second.requests -= std::min(total->second.requests, use.requests);
    total->second.first_stage_requests -=
        std::min(total->second.first_stage_requests, use.first_stage_requests);
    total->second.token_layers = std::max(0.0, total->second.token_layers - use.token_layers);
    if (total->second.requests == 0) {
      others.erase(total);
    }
  }
  return others;
}

}  // namespace zinnia
