#pragma once

#include <map>
#include <optional>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

/** What is believed of one other instance. */
struct Member {
  Instance instance;
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  TimePoint state_since{};
  ConfigurationRevision revision = 0;
};

/** The other instances as this one believes them to be, ordered by (start, incarnation, state).

    Whatever order rumours come in, the highest word wins, so that all tables that heard the same
    rumours are equal. Left is final for a start: only a restart brings the name back. Bounded: when
    full, the member that is dead or left for longest goes; if all are live, newcomers are ignored.

    @see GossipMembership
*/
class MemberTable {
 public:
  /** Takes in a rumour. Returns whether it was news, to be passed on. */
  bool Apply(const MemberRumour& rumour, TimePoint now);

  /** Notes the configuration revision that a member said it has. */
  void SetMemberRevision(const InstanceName& name, ConfigurationRevision revision);

  const Member* Find(const InstanceName& name) const;
  const std::map<InstanceName, Member>& members() const { return m_members; }

  /** Alive or suspect members, sorted by name. */
  std::vector<Instance> Live() const;
  std::size_t LiveCount() const { return m_live_count; }

  /** Suspects that have not refuted since `deadline`. */
  std::vector<MemberRumour> SuspectsSince(TimePoint deadline) const;

  /** Gives all suspects their whole time again, from `now` on. */
  void RestartSuspicionTimers(TimePoint now);

  /** Forgets members dead or left since before `deadline`. */
  void RemoveExpired(TimePoint deadline);

 private:
  bool EvictOldest();

  std::map<InstanceName, Member> m_members;
  std::size_t m_live_count = 0;
};

/** Whether members in this state count as live. */
constexpr bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

}  // namespace zinnia
