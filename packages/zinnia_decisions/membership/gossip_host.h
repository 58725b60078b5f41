#pragma once

#include <vector>

#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

/** What GossipMembership needs from whoever owns it: the rest of what instances tell each other.

    @see InstanceControl
*/
class GossipHost {
 public:
  virtual ~GossipHost() = default;

  /** The revision that is told in every message. */
  virtual ConfigurationRevision OwnRevision() const = 0;

  /** A rumour that is not about members. To pass it on, call GossipMembership::QueueRumour. */
  virtual void OnRumour(const Rumour& rumour, const Instance& sender) = 0;

  /** A peer told the revision of its configuration. */
  virtual void OnPeerRevision(const Instance& peer, ConfigurationRevision revision) = 0;

  /** What an instance that was not known before should hear at once. */
  virtual std::vector<Rumour> RumoursForNewMember() const = 0;

  /** A few of the same, about `room` bytes, taking turns from call to call. */
  virtual std::vector<Rumour> RumoursForRepair(std::size_t room) = 0;
};

}  // namespace zinnia
