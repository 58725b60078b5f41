#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/instance.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class InstanceDirectory;

/** Decides which instances read the platform's store for the fleet, and which pass news on inside
    each failure domain.

    Everybody telling everybody does not grow: 195 instances sent and took in up to 180 reports a
    second each, whole days of them used more processor time than a day has, and ten of them read
   the store. Here members tell the two relays of their domain, relays tell their members and each
    other, and three relays of different domains read the store.

    The relays are the instances with most to spend: first by link, then by processor, then by name.
    Forty copies of a large configuration, a quarter of a megabyte each, fill a link of 20 Mbit/s
   for four seconds.

    Each instance decides alone, from the instances that it knows to live. One that should talk to
    this instance and is not heard is passed over until it is heard again, so that a relay that is
    cut off or frozen is replaced within `silence_limit`, long before its record lapses.

    Lives on the control thread.
*/
class RelayDirectory {
 public:
  /** Three, so that the store may refuse a third of all instances and mostly still tells one. */
  static constexpr std::size_t kStoreWatchersPerFleet = 3;

  /** Two, so that members need not wait for a replacement while one restarts. */
  static constexpr std::size_t kRelaysPerDomain = 2;

  /** Both must outlive it. */
  RelayDirectory(const Clock& clock, const InstanceDirectory& instances)
      : m_clock(clock), m_instances(instances) {}

  /** Decides anew. `silence_limit`: how long an instance that should talk to this one may be
   * silent.
   */
  void Refresh(Duration silence_limit);

  bool IsStoreWatcher() const { return m_is_store_watcher; }
  bool IsRelay() const { return m_is_relay; }

  /** Whether it tells other failure domains of its own: one does, since bytes between domains are
      dear. */
  bool IsFirstRelay() const { return m_is_first_relay; }

  /** This instance's domain's relays but itself. Valid until the next Refresh, as all below. */
  const std::vector<Instance>& OwnRelays() const { return m_own_relays; }

  /** The relays of all other failure domains. */
  const std::vector<Instance>& RemoteRelays() const { return m_remote_relays; }

  /** All instances of the own failure domain but this one. */
  const std::vector<Instance>& Members() const { return m_members; }

 private:
  using Times = std::map<InstanceName, TimePoint>;

  bool IsSilent(const Instance& instance, const Times& expected_before, Duration silence_limit);

  const Clock& m_clock;
  const InstanceDirectory& m_instances;
  std::vector<Instance> m_own_relays;
  std::vector<Instance> m_remote_relays;
  std::vector<Instance> m_members;

  /** Since when an instance is expected to talk to this one. */
  Times m_expected_since;

  /** Passed over since then. */
  Times m_excluded_at;
  bool m_is_store_watcher = true;
  bool m_is_relay = true;
  bool m_is_first_relay = true;
};

}  // namespace zinnia
