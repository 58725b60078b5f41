#include "zinnia_adapters/engines/step_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace zinnia {

StepBatch StepQueue::TakeBatch() {
  StepBatch batch;
  batch.kind = m_kind;
  std::uint32_t positions = 0;
  std::size_t bytes = 0;
  const std::size_t most = m_kind == BatchKind::kIsolated ? 1 : kMostSteps;
  while (!m_steps.empty() && batch.steps.size() < most) {
    const std::uint32_t more = PositionsOf(m_steps.front().step);
    bytes += BytesOf(m_steps.front().step);
    const bool full = positions + more > kMostPrefillPositions || bytes > kMostBytes;
    if (full && !batch.steps.empty()) {
      break;
    }
    positions += more;
    batch.steps.push_back(std::move(m_steps.front()));
    m_steps.pop_front();
  }
  batch.units = m_kind == BatchKind::kDecode ? 1 : std::max(positions, 1U);
  return batch;
}

std::vector<PendingStep> StepQueue::TakeOlderThan(TimePoint time) {
  std::vector<PendingStep> taken;
  while (!m_steps.empty() && m_steps.front().queued_at < time) {
    taken.push_back(std::move(m_steps.front()));
    m_steps.pop_front();
  }
  return taken;
}

std::vector<PendingStep> StepQueue::TakeAll() {
  std::vector<PendingStep> taken(std::make_move_iterator(m_steps.begin()),
                                 std::make_move_iterator(m_steps.end()));
  m_steps.clear();
  return taken;
}

}  // namespace zinnia
