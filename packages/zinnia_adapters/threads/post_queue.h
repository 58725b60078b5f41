#pragma once

#include <oneapi/tbb/concurrent_queue.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <optional>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Calls on their way from any thread to the control thread, with a file descriptor that becomes
    readable when some wait.

    Pushing is lock free, and writes to the descriptor only if the reader has not been woken yet.
*/
class PostQueue {
 public:
  struct Entry {
    TimePoint posted_at{};
    std::function<void()> call;
  };

  PostQueue();
  ~PostQueue();
  PostQueue(const PostQueue&) = delete;
  PostQueue& operator=(const PostQueue&) = delete;

  int descriptor() const { return m_descriptor; }

  /** From any thread. */
  void Push(Entry entry);

  /** Reader only: makes the descriptor wait for the next Push. Call it before TryPop, not after, or
      an entry pushed in between would wake nobody. */
  void ClearWakeUp();

  /** Reader only. */
  std::optional<Entry> TryPop();

 private:
  tbb::concurrent_queue<Entry> m_entries;
  std::atomic<bool> m_wake_up_sent{false};
  int m_descriptor;
};

}  // namespace zinnia
