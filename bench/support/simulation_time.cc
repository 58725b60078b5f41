#include "bench/support/simulation_time.h"

#include <algorithm>
#include <utility>

namespace zinnia::bench {
namespace {

class Handle final : public ScheduledCall {
 public:
  explicit Handle(std::shared_ptr<std::function<void()>> call) : m_call(std::move(call)) {}

 private:
  std::shared_ptr<std::function<void()>> m_call;
};

}  // namespace

std::unique_ptr<ScheduledCall> SimulationTime::ScheduleAfter(Duration delay,
                                                             std::function<void()> call) {
  auto owned = std::make_shared<std::function<void()>>(std::move(call));
  Post(delay, [weak = std::weak_ptr(owned)] {
    if (const auto wanted = weak.lock()) {
      (*wanted)();
    }
  });
  return std::make_unique<Handle>(std::move(owned));
}

void SimulationTime::Post(Duration delay, std::function<void()> call) {
  m_events.push_back({m_now + delay, m_next_sequence++, std::move(call)});
  std::ranges::push_heap(m_events, IsLater);
}

void SimulationTime::RunUntil(TimePoint end) {
  while (!m_events.empty() && m_events.front().at < end) {
    std::ranges::pop_heap(m_events, IsLater);
    const Event event = std::move(m_events.back());
    m_events.pop_back();
    m_now = event.at;
    event.call();
  }
  m_now = end;
}

bool SimulationTime::IsLater(const Event& left, const Event& right) {
  return left.at != right.at ? left.at > right.at : left.sequence > right.sequence;
}

}  // namespace zinnia::bench
