#pragma once

#include <vector>

#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

/** The owner's interface for GossipMembership: supplies and handles rumours that are not about
    members.

    @see InstanceControl
*/
class GossipHost {
 public:
  virtual ~GossipHost() = default;

  /** The configuration revision sent in every message. */
  virtual ConfigurationRevision OwnRevision() const = 0;

  /** Called for a rumour that is not about members. QueueRumour forwards it. */
  virtual void OnRumour(const Rumour& rumour, const Instance& sender) = 0;

  /** Called with the configuration revision in a peer's message. */
  virtual void OnPeerRevision(const Instance& peer, ConfigurationRevision revision) = 0;

  /** Rumours to send at once to an instance that was not known before. */
  virtual std::vector<Rumour> RumoursForNewMember() const = 0;

  /** A subset of those, of about `max_bytes`, rotating from call to call. */
  virtual std::vector<Rumour> RumoursForRepair(std::size_t max_bytes) = 0;
};

}  // namespace zinnia
