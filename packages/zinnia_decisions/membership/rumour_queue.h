#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

/** The rumours that still ride along on probes, each a bounded number of times.

    A newer rumour on the same subject takes the older one's place. The least sent go first, so that
    news is not held up by what most instances know already. Bounded: when full, the rumour that was
    sent most often is dropped.
*/
class RumourQueue {
 public:
  /** Queues a rumour to be sent `transmissions` times. */
  void Add(Rumour rumour, std::uint32_t transmissions);

  /** Takes rumours for one datagram with `room` bytes left, and counts them as sent. */
  std::vector<Rumour> Take(std::size_t room);

  std::size_t size() const { return m_items.size(); }

 private:
  struct Item {
    Rumour rumour;
    std::size_t size = 0;
    std::uint32_t sent = 0;
    std::uint32_t transmissions = 0;
  };

  void EvictMostSent();

  std::map<std::string, Item> m_items;
};

/** Names what a rumour is about: two rumours with one subject replace each other. */
std::string SubjectOf(const Rumour& rumour);

}  // namespace zinnia
