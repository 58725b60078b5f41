#pragma once

#include <cstddef>
#include <memory>

namespace zinnia {

/** Bounds how many partitions of lost holders this instance takes over at once.

    Take gives a slot, or null if all are taken; let go of the slot when the takeover is over.
*/
class TakeoverSlots {
 public:
  using Slot = std::shared_ptr<void>;

  explicit TakeoverSlots(std::size_t most) : m_most(most) {}

  Slot Take() {
    if (static_cast<std::size_t>(m_taken.use_count()) > m_most) {
      return nullptr;
    }
    return m_taken;
  }

 private:
  const std::size_t m_most;
  /** One use is this class's own; each other is a slot. */
  std::shared_ptr<void> m_taken = std::make_shared<char>();
};

}  // namespace zinnia
