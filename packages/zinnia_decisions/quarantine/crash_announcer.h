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

/** Tells the live peers of a crash and says when they know.

    What fails without it: a request that crashes servers is helped to a second one within a
    millisecond, and copies that its caller sends through other instances meanwhile start on a third
    and a fourth, because the rumour of the first crash was still on its way. One notices more than
    two dead servers for one fingerprint. So the second try waits until the peers have acknowledged
    the first crash: from then on they hold copies back.

    A peer that does not answer within kLongestWait is not waited for, or one frozen instance would
    hold up every recovery; in a large fleet only kMostPeers are asked and the others hear by
   rumour.

    Lives on the control thread.

    @see CrashQuarantine
*/
class CrashAnnouncer {
 public:
  static constexpr std::size_t kMostPeers = 32;
  static constexpr Duration kRepeatAfter = std::chrono::milliseconds(20);
  static constexpr Duration kLongestWait = std::chrono::milliseconds(100);

  CrashAnnouncer(GossipMembership& membership, Scheduler& scheduler);
  ~CrashAnnouncer();

  /** `done` is called once, never from inside. */
  void Announce(std::vector<CrashRumour> rumours, std::function<void()> done);

  /** Tell it the sequence of each acknowledgement that came. */
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
