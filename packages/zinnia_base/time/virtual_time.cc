#include "zinnia_base/time/virtual_time.h"

#include <algorithm>

namespace zinnia {

class VirtualTime::Call final : public ScheduledCall {
 public:
  Call(std::weak_ptr<Queue> queue, Queue::key_type key) : m_queue(std::move(queue)), m_key(key) {}
  ~Call() override {
    if (auto queue = m_queue.lock()) {
      queue->erase(m_key);
    }
  }

 private:
  std::weak_ptr<Queue> m_queue;
  Queue::key_type m_key;
};

VirtualTime::VirtualTime() : m_queue(std::make_shared<Queue>()) {}

VirtualTime::~VirtualTime() = default;

WallTimePoint VirtualTime::WallNow() const {
  constexpr std::chrono::seconds kStart{1'800'000'000};
  return WallTimePoint{kStart + m_now.time_since_epoch()};
}

std::unique_ptr<ScheduledCall> VirtualTime::ScheduleAfter(Duration delay,
                                                          std::function<void()> call) {
  const Queue::key_type key{m_now + std::max(delay, Duration::zero()), m_next_sequence++};
  m_queue->emplace(key, std::move(call));
  return std::make_unique<Call>(m_queue, key);
}

void VirtualTime::AdvanceBy(Duration duration) {
  const TimePoint end = m_now + duration;
  while (!m_queue->empty() && m_queue->begin()->first.first <= end) {
    RunNext();
  }
  m_now = end;
}

bool VirtualTime::RunNext() {
  if (m_queue->empty()) {
    return false;
  }
  auto next = m_queue->extract(m_queue->begin());
  m_now = std::max(m_now, next.key().first);
  next.mapped()();
  return true;
}

}  // namespace zinnia
