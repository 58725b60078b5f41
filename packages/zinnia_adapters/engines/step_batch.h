#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "zinnia_adapters/engines/pending_step.h"
#include "zinnia_base/time/scheduler.h"

namespace zinnia {

class BackendConnection;

/** Kinds of batch. Each has its own lanes, so that a long prefill does not hold up the tokens of
    other sessions, and an isolated step is alone in its request. */
enum class BatchKind { kDecode, kPrefill, kIsolated };

/** Steps that went to the server in one request. `answered` is set when its steps got their answer
    while the exchange is still running (a missed deadline): the late response is then dropped. */
struct StepBatch {
  BatchKind kind = BatchKind::kDecode;
  std::vector<PendingStep> steps;
  std::uint32_t units = 1;
  TimePoint sent_at{};
  std::shared_ptr<BackendConnection> connection;
  std::unique_ptr<ScheduledCall> deadline;
  bool answered = false;

  /** Of steps that were answered before the exchange ended. */
  std::vector<Fingerprint> fingerprints;
};

/** How many positions the step runs; a prompt is estimated by its words. */
std::uint32_t PositionsOf(const StepRequest& step);

/** Bytes of the step's prompt or states, which are nearly all of what it takes in a request. */
std::size_t BytesOf(const StepRequest& step);

/** kIsolated, kPrefill (more than one position) or kDecode. */
BatchKind KindOf(const StepRequest& step);

}  // namespace zinnia
