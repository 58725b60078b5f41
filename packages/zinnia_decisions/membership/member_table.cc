#include "zinnia_decisions/membership/member_table.h"

#include <tuple>

namespace zinnia {
namespace {

constexpr std::size_t kMaxMembers = 4096;

bool Supersedes(const MemberRumour& rumour, const Member& member) {
  if (rumour.instance.start != member.instance.start) {
    return rumour.instance.start > member.instance.start;
  }
  if (member.state == MemberState::kLeft || rumour.state == MemberState::kLeft) {
    return member.state != MemberState::kLeft;
  }
  return std::tuple(rumour.incarnation, rumour.state) >
         std::tuple(member.incarnation, member.state);
}

}  // namespace

bool MemberTable::Apply(const MemberRumour& rumour, TimePoint now) {
  const auto found = m_members.find(rumour.instance.name);
  if (found == m_members.end()) {
    if (m_members.size() >= kMaxMembers && !EvictOldest()) {
      return false;
    }
    m_members.emplace(rumour.instance.name,
                      Member{rumour.instance, rumour.incarnation, rumour.state, now, 0});
    m_live_count += IsLive(rumour.state) ? 1 : 0;
    return true;
  }
  Member& member = found->second;
  if (!Supersedes(rumour, member)) {
    return false;
  }
  m_live_count -= IsLive(member.state) ? 1 : 0;
  m_live_count += IsLive(rumour.state) ? 1 : 0;
  if (member.state != rumour.state) {
    member.state_since = now;
  }
  member.instance = rumour.instance;
  member.incarnation = rumour.incarnation;
  member.state = rumour.state;
  return true;
}

void MemberTable::SetMemberRevision(const InstanceName& name, ConfigurationRevision revision) {
  const auto found = m_members.find(name);
  if (found != m_members.end()) {
    found->second.revision = revision;
  }
}

const Member* MemberTable::Find(const InstanceName& name) const {
  const auto found = m_members.find(name);
  return found == m_members.end() ? nullptr : &found->second;
}

std::vector<Instance> MemberTable::Live() const {
  std::vector<Instance> live;
  live.reserve(m_live_count + 1);
  for (const auto& [name, member] : m_members) {
    if (IsLive(member.state)) {
      live.push_back(member.instance);
    }
  }
  return live;
}

std::vector<MemberRumour> MemberTable::SuspectsSince(TimePoint deadline) const {
  std::vector<MemberRumour> suspects;
  for (const auto& [name, member] : m_members) {
    if (member.state == MemberState::kSuspect && member.state_since <= deadline) {
      suspects.push_back({member.instance, member.incarnation, MemberState::kSuspect});
    }
  }
  return suspects;
}

void MemberTable::RestartSuspicionTimers(TimePoint now) {
  for (auto& [name, member] : m_members) {
    if (member.state == MemberState::kSuspect) {
      member.state_since = now;
    }
  }
}

void MemberTable::RemoveExpired(TimePoint deadline) {
  std::erase_if(m_members, [deadline](const auto& row) {
    return !IsLive(row.second.state) && row.second.state_since < deadline;
  });
}

bool MemberTable::EvictOldest() {
  auto oldest = m_members.end();
  for (auto member = m_members.begin(); member != m_members.end(); ++member) {
    const bool older =
        oldest == m_members.end() || member->second.state_since < oldest->second.state_since;
    if (!IsLive(member->second.state) && older) {
      oldest = member;
    }
  }
  if (oldest == m_members.end()) {
    return false;
  }
  m_members.erase(oldest);
  return true;
}

}  // namespace zinnia
