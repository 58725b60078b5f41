#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/instance.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class InstanceDirectory;

/** Decides which instances watch the platform's store for the fleet, and which ones relay reports
    in each failure domain.

    Reports sent by everybody to everybody do not scale: 195 instances sent and received up to 180
    reports a second each. Members send to the two relays of their
    domain, relays to their members and to each other, and three relays of different domains watch
    the store. The relays are the instances with the fastest links, then with the most cores, then
    first by name, since forty copies of a large configuration, a quarter of a megabyte each, fill a
    link of 20 Mbit/s for four seconds.

    Each instance decides on its own, from the instances that it knows to be live. An instance that
    should send to this one and is silent for `silence_limit` is excluded for a while or until its
    next report, so that a failed relay is replaced long before its record lapses. Two domains that
    could not reach each other have excluded each other's relays: those must be reported to all the
    same, or neither would hear of the other's return.

    Used on the control thread only. */
class RelayDirectory {
 public:
  /** Enough that one of them very likely has contact while the store refuses a third of all
      instances. */
  static constexpr std::size_t kStoreWatchersPerFleet = 3;

  /** Two, so that members keep a relay while the other restarts. */
  static constexpr std::size_t kRelaysPerDomain = 2;

  /** Both references must outlive this object. */
  RelayDirectory(const Clock& clock, const InstanceDirectory& instances)
      : m_clock(clock), m_instances(instances) {}

  /** Assigns the roles again. `silence_limit`: how long an instance that should send to this one
      may be silent. */
  void Refresh(Duration silence_limit);

  bool IsStoreWatcher() const { return m_store_watch_rank < m_store_watchers; }

  /** This instance's place among the store watchers, which is not below their number if it is none.
   */
  std::size_t StoreWatchRank() const { return m_store_watch_rank; }
  std::size_t StoreWatchers() const { return m_store_watchers; }
  bool IsRelay() const { return m_is_relay; }

  /** Whether this relay reports to other failure domains. Only one per domain does, since traffic
      between domains is expensive. */
  bool IsFirstRelay() const { return m_is_first_relay; }

  /** The other relays of the own failure domain. Valid until the next Refresh, like the lists
      below. */
  const std::vector<Instance>& OwnRelays() const { return m_own_relays; }

  const std::vector<Instance>& RemoteRelays() const { return m_remote_relays; }

  /** The instances that would be relays of other failure domains but are excluded. */
  const std::vector<Instance>& SilentRemoteRelays() const { return m_silent_remote_relays; }

  /** The other instances of the own failure domain. */
  const std::vector<Instance>& Members() const { return m_members; }

 private:
  using Times = std::map<InstanceName, TimePoint>;

  bool IsSilent(const Instance& instance, const Times& expected_before, Duration silence_limit);

  const Clock& m_clock;
  const InstanceDirectory& m_instances;
  std::vector<Instance> m_own_relays;
  std::vector<Instance> m_remote_relays;
  std::vector<Instance> m_silent_remote_relays;
  std::vector<Instance> m_members;

  /** Since when each instance has been expected to send to this one. */
  Times m_expected_since;

  /** When each silent instance was excluded. */
  Times m_excluded_at;
  std::size_t m_store_watch_rank = 0;
  std::size_t m_store_watchers = 1;
  bool m_is_relay = true;
  bool m_is_first_relay = true;
};

}  // namespace zinnia
