#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

/** The rumours to piggyback on probes, each a bounded number of times.

    A newer rumour replaces an older one on the same subject. The least sent rumours go first, since
    the others have reached more instances already. Bounded: when full, the rumour that was sent
    most often is evicted.
*/
class RumourQueue {
 public:
  /** Queues a rumour to be sent `transmissions` times. */
  void Add(Rumour rumour, std::uint32_t transmissions);

  /** Returns rumours of up to `max_bytes` in total and counts them as sent. */
  std::vector<Rumour> Take(std::size_t max_bytes);

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

/** The subject of a rumour; a rumour replaces an older one with the same subject. */
std::string SubjectOf(const Rumour& rumour);

}  // namespace zinnia
