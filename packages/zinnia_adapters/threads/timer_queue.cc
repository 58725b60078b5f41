#include "zinnia_adapters/threads/timer_queue.h"

namespace zinnia {

class TimerQueue::Call final : public ScheduledCall {
 public:
  Call(std::weak_ptr<Calls> calls, Calls::key_type key) : m_calls(std::move(calls)), m_key(key) {}
  ~Call() override {
    if (const auto calls = m_calls.lock()) {
      calls->erase(m_key);
    }
  }

 private:
  const std::weak_ptr<Calls> m_calls;
  const Calls::key_type m_key;
};

TimerQueue::TimerQueue() : m_calls(std::make_shared<Calls>()) {}

std::unique_ptr<ScheduledCall> TimerQueue::Add(TimePoint at, std::function<void()> call) {
  const Calls::key_type key{at, m_next_sequence++};
  m_calls->emplace(key, std::move(call));
  return std::make_unique<Call>(m_calls, key);
}

std::optional<TimePoint> TimerQueue::NextTime() const {
  if (m_calls->empty()) {
    return std::nullopt;
  }
  return m_calls->begin()->first.first;
}

std::optional<TimerQueue::Due> TimerQueue::TakeDue(TimePoint now) {
  const auto next = m_calls->begin();
  if (next == m_calls->end() || next->first.first > now) {
    return std::nullopt;
  }
  Due due{next->first.first, std::move(next->second)};
  m_calls->erase(next);
  return due;
}

}  // namespace zinnia
