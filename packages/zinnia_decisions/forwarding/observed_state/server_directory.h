#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "zinnia_base/time/clock.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/forwarding/observed_state/server_state_report.h"
#include "zinnia_world/forwarding/server_entry.h"

namespace zinnia {

class Logger;

/** Directory of the registered backend servers, with one incarnation of each.

    - Leases may expire during a store outage although their servers are running. A removal that is
      heard soon after one is delayed so that the entry can return, until the store has been back
      for `kRemovalGracePeriod`; see OnStoreSettled. Otherwise the directory would be empty after
      the outage and requests would be refused.
    - If a server restarts under its registration, the earlier incarnation ends immediately. Its
      streams needn't wait until it is found to be silent.
    - A server that shuts down during a store outage cannot update its entry. It refuses new work,
      and instances learn from its answers that it is leaving; see OnServerStateReport.
    - A server may announce in its answers that it is leaving, before its entry says so or although
      its entry never does. That holds until the incarnation ends: neither an answer without the
      announcement nor an entry that does not show it, which may have been written before, means
      that the server has returned.
    - A store that comes back from an older copy forgets entries and brings back removed ones; see
      PutOlderCopy.
    - An entry with an earlier start time may be a late write of the previous incarnation, or come
      from a restarted server whose clock is behind. It is applied after `kEarlierIncarnationDelay`
      unless another write for the registration arrives first.
*/
class ServerDirectory {
 public:
  /** Slightly longer than the two seconds within which expired entries return after an outage. */
  static constexpr Duration kRemovalGracePeriod = std::chrono::milliseconds(2'300);

  /** Two of the servers' usual write intervals of 1.2 s. */
  static constexpr Duration kEarlierIncarnationDelay = std::chrono::milliseconds(2'500);

  /** Covers most store outages, during which servers cannot announce that they are leaving. */
  static constexpr Duration kLeavingReportLifetime = std::chrono::milliseconds(6'000);

  /** The store removes the entry of a server that is silent for three of its usual write intervals
     of 1.2 s, so an entry that is older than this belongs to a live server. */
  static constexpr Duration kOlderCopyDelay = std::chrono::milliseconds(5'000);

  /** The incarnations removed last are remembered, in case that a copy of the store brings them
   * back.
   */
  static constexpr std::size_t kMaxRemoved = 1'024;

  /** Ended incarnations are kept for instances that still have requests there. */
  static constexpr std::size_t kMaxEndedIncarnations = 256;

  /** Announcements are kept for entries that lapse and return; the oldest are dropped first. */
  static constexpr std::size_t kMaxAnnouncements = 1'024;

  using Servers = std::map<BackendServerName, ServerEntry>;

  ServerDirectory(Scheduler& scheduler, Logger& logger)
      : m_scheduler(scheduler), m_logger(logger) {}

  /** Calls `on_changed` if the entry is applied after a delay. */
  void Put(ServerEntry entry, std::function<void()> on_changed);

  /** Puts an entry of a store that came back from an older copy. It is older than what is known
     here: an incarnation that was leaving stays so until it ends, and one that had gone, or that is
     known with other layers, is taken from the copy only if the store keeps the entry for
      `kOlderCopyDelay`. Calls `on_changed` then. */
  void PutOlderCopy(ServerEntry entry, std::function<void()> on_changed);

  /** Applies a server's report of its own state and returns whether the directory changed. The next
      entry passed to Put overrides it, unless the server announced that it is leaving. An inferred
      report that the server is leaving expires `kLeavingReportLifetime` after the last one;
      `on_changed` is called then. */
  bool OnServerStateReport(const ServerStateReport& report, std::function<void()> on_changed);

  /** Removes the server of a registration that the store has removed while it was well. */
  void Remove(const std::string& registration);

  /** The same soon after an outage of the store: the removal is delayed until OnStoreSettled, and
      for `kRemovalGracePeriod` at most, after which `on_changed` is called. */
  void RemoveUnlessBack(const std::string& registration, std::function<void()> on_changed);

  /** The same for an entry that an older copy of the store lacks: the server must write it again.
      The removal is delayed for `kRemovalGracePeriod`, after which `on_changed` is called. */
  void RemoveForgotten(const std::string& registration, std::function<void()> on_changed);

  /** The store has been back for so long that all lapsed entries of running servers have returned.
      Carries out the removals that wait for this, and returns whether there were any. */
  bool OnStoreSettled();

  /** Removes the server of a registration whose record cannot be parsed. */
  void Invalidate(const std::string& registration);

  const Servers& All() const { return m_servers; }

  /** Incarnations that a later incarnation of the same server replaced. */
  const std::set<BackendServerName>& EndedIncarnations() const { return m_ended_incarnations; }

 private:
  const ServerEntry* FindEntry(const std::string& registration) const;
  void ApplyEntry(ServerEntry entry);
  void EndIncarnation(const BackendServerName& incarnation);
  void RemoveEntry(const std::string& registration, const char* reason);
  bool OnLeavingAnnounced(const BackendServerName& name);
  bool HasGone(const BackendServerName& name) const;
  void KeepLeaving(const BackendServerName& name);
  void RememberLeaving(const BackendServerName& name);
  bool HasAnnouncedLeaving(const BackendServerName& name) const;
  bool OnLeavingReport(ServerEntry& server, std::function<void()> on_changed);
  void CancelPostponed(const std::string& registration);
  void Postpone(const std::string& registration, Duration delay, std::function<void()> action);
  void PostponeRemoval(const std::string& registration, std::function<void()> on_changed);

  Scheduler& m_scheduler;
  Logger& m_logger;
  Servers m_servers;

  /** The current incarnation by registration. */
  std::map<std::string, BackendServerName> m_current;
  std::set<BackendServerName> m_ended_incarnations;

  /** Incarnations that are known to leave whatever an entry says, from their announcements or from
      entries that are gone, the earliest first. */
  std::deque<BackendServerName> m_announced_leaving;

  /** Incarnations whose entries were removed, in the order of their removals. */
  std::deque<BackendServerName> m_removed;

  /** Servers that are leaving according to inferred reports only, with the timers that expire the
      reports. */
  std::map<BackendServerName, std::unique_ptr<ScheduledCall>> m_reported_leaving;

  /** Delayed changes by registration, cancelled if another entry arrives first. */
  std::map<std::string, std::unique_ptr<ScheduledCall>> m_postponed;

  /** The registrations of which a removal is delayed until OnStoreSettled. */
  std::set<std::string> m_removed_unless_back;
};

}  // namespace zinnia
