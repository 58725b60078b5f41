#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

class GossipMembership;

/** Sends crash reports to the live peers and reports when they have acknowledged them.

    A request is retried on a second server only once the peers have acknowledged the first crash;
    from then on they refuse duplicates of it. Otherwise duplicates that the client sends through
    other instances could crash further servers before the report reaches those instances.

    Peers that do not acknowledge within kAcknowledgementTimeout are skipped, so that an
   unresponsive instance cannot block recovery. At most kMaxPeers peers are contacted directly; the
   others receive the report by gossip.

    Lives on the control thread.

    @see CrashQuarantine
*/
class CrashAnnouncer {
 public:
  static constexpr std::size_t kMaxPeers = 32;
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(20);
  static constexpr Duration kAcknowledgementTimeout = std::chrono::milliseconds(100);

  CrashAnnouncer(GossipMembership& membership, Scheduler& scheduler);
  ~CrashAnnouncer();

  /** Calls `done` once, after this function has returned. */
  void Announce(std::vector<CrashRumour> rumours, std::function<void()> done);

  /** Call for each acknowledgement received, with its sequence number. */
  void OnAcknowledged(std::uint64_t sequence);

 private:
  struct Announcement;
  using Announcements = std::list<std::unique_ptr<Announcement>>;

  void Send(Announcement& announcement);
  void OnTimer(Announcements::iterator announcement);
  void Finish(Announcements::iterator announcement);

  GossipMembership& m_membership;
  Scheduler& m_scheduler;
  Announcements m_announcements;
};

}  // namespace zinnia
