#pragma once

#include <chrono>
#include <cstddef>

#include "zinnia_base/errors/result.h"

namespace zinnia {

struct StoreMirrorSettings;

/** The longest time from the store's acknowledgement of a change until the last instance acts on
   it, as the sum of its parts, if the pending watches of all store watchers hear nothing. */
struct ChangeDelay {
  /** Until the watch of one of the store watchers should end. */
  std::chrono::milliseconds until_next_end{0};

  /** Until that end counts as overdue and the store is asked without waiting. */
  std::chrono::milliseconds overdue{0};

  /** Two responses of a slow store: to the question, which may say that the history is lost, and to
     the list after it. */
  std::chrono::milliseconds responses{0};

  /** Two relays: between failure domains, and to the members of one. */
  std::chrono::milliseconds relays{0};

  /** From the control thread to the traffic thread of a busy process. */
  std::chrono::milliseconds delivery{0};

  static ChangeDelay Of(const StoreMirrorSettings& settings, std::size_t store_watchers);

  std::chrono::milliseconds Sum() const {
    return until_next_end + overdue + responses + relays + delivery;
  }

  /** Fails with kInvalidSettings, naming the parts, if less than a fifth of `bound` is left over.
   */
  Result<void> Check(std::chrono::milliseconds bound) const;
};

}  // namespace zinnia
