#include "zinnia_adapters/threads/post_queue.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace zinnia {

PostQueue::PostQueue() : m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (m_descriptor < 0) {
    throw std::system_error(errno, std::generic_category(), "eventfd");
  }
}

PostQueue::~PostQueue() {
  close(m_descriptor);
}

void PostQueue::Push(Entry entry) {
  m_entries.push(std::move(entry));
  if (!m_wake_up_sent.exchange(true)) {
    eventfd_write(m_descriptor, 1);
  }
}

void PostQueue::ClearWakeUp() {
  eventfd_t count = 0;
  eventfd_read(m_descriptor, &count);
  m_wake_up_sent.store(false);
}

std::optional<PostQueue::Entry> PostQueue::TryPop() {
  Entry entry;
  if (!m_entries.try_pop(entry)) {
    return std::nullopt;
  }
  return entry;
}

}  // namespace zinnia
