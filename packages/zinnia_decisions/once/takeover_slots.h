#pragma once

#include <cstddef>
#include <memory>

namespace zinnia {

/** Limits the number of concurrent takeovers from lost holders.

    Take returns a slot, or null if none is free. Destroy the slot when the takeover has finished.
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
  /** Its reference count is the number of slots in use plus one. */
  std::shared_ptr<void> m_taken = std::make_shared<char>();
};

}  // namespace zinnia
