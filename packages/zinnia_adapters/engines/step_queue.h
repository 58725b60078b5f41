#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "zinnia_adapters/engines/pending_step.h"
#include "zinnia_adapters/engines/step_batch.h"

namespace zinnia {

/** The steps of one kind that wait for a lane of a channel: first in, first out, bounded. */
class StepQueue {
 public:
  /** Steps in one request; more would make the fastest answer wait for the encoding of the rest. */
  static constexpr std::size_t kMostSteps = 256;
  /** Positions of prefill in one request, so that one long prompt does not delay short ones. */
  static constexpr std::uint32_t kMostPrefillPositions = 4096;
  /** Bytes of prompts and states in one request: HTTP servers commonly refuse bodies above 1 MB,
     and a refused batch would fail all its sessions. A single larger step goes alone. */
  static constexpr std::size_t kMostBytes = 524'288;
  static constexpr std::size_t kMostQueued = 8192;

  /** How many requests of a kind may be in flight at a server. Two for decode: the engine gets the
      next batch while the answers to the one before are on their way. */
  static std::size_t LanesFor(BatchKind kind) { return kind == BatchKind::kDecode ? 2 : 1; }

  explicit StepQueue(BatchKind kind) : m_kind(kind) {}

  bool IsEmpty() const { return m_steps.empty(); }
  bool IsFull() const { return m_steps.size() >= kMostQueued; }
  void Push(PendingStep step) { m_steps.push_back(std::move(step)); }

  /** The next batch; not empty unless the queue is. */
  StepBatch TakeBatch();

  /** Removes the steps that were queued before `time`. */
  std::vector<PendingStep> TakeOlderThan(TimePoint time);
  std::vector<PendingStep> TakeAll();

  BatchKind Kind() const { return m_kind; }

  std::size_t batches_in_flight = 0;

 private:
  BatchKind m_kind;
  std::deque<PendingStep> m_steps;
};

}  // namespace zinnia
