#pragma once

#include <map>
#include <optional>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

/** The last known state of another instance. */
struct Member {
  Instance instance;
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  TimePoint state_since{};
  ConfigurationRevision revision = 0;
};

/** The last known states of the other instances.

    A rumour applies only if its (start, incarnation, state) is higher than the stored one, so that
    tables converge whatever the order of rumours. kLeft is final until the instance restarts.
    Bounded: when full, the member dead or left for longest is evicted; if all are live, new members
    are ignored.

    @see GossipMembership
*/
class MemberTable {
 public:
  /** Applies a rumour. Returns whether it changed the table and should be forwarded. */
  bool Apply(const MemberRumour& rumour, TimePoint now);

  /** Stores the configuration revision that a member reported. */
  void SetMemberRevision(const InstanceName& name, ConfigurationRevision revision);

  const Member* Find(const InstanceName& name) const;
  const std::map<InstanceName, Member>& members() const { return m_members; }

  /** Alive or suspect members, sorted by name. */
  std::vector<Instance> Live() const;
  std::size_t LiveCount() const { return m_live_count; }

  /** Members that have been suspect since `deadline` or longer. */
  std::vector<MemberRumour> SuspectsSince(TimePoint deadline) const;

  /** Restarts the suspicion timeout of all suspects at `now`. */
  void RestartSuspicionTimers(TimePoint now);

  /** Removes members that have been dead or left since before `deadline`. */
  void RemoveExpired(TimePoint deadline);

 private:
  bool EvictOldest();

  std::map<InstanceName, Member> m_members;
  std::size_t m_live_count = 0;
};

constexpr bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

}  // namespace zinnia
