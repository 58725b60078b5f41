#pragma once

#include <cstdint>
#include <map>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/costs/running_request.h"
#include "zinnia_decisions/forwarding/costs/server_memory.h"
#include "zinnia_decisions/forwarding/streams/event_interval_tracker.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Predicts the memory that this instance's running requests hold at each server and release soon.

    A request holds its prompt and the tokens sent so far on all layers of its path, and releases
    them with its last event. How many tokens it may still send comes from the estimator, how fast
    it sends them from its own events. A request that has not sent an event yet is not expected to
    release anything, since the time to its first event is not known here.
*/
class ServerWork {
 public:
  using RequestId = std::uint64_t;

  /** All references must outlive the object. */
  ServerWork(const AnswerLengthEstimator& lengths, const Clock& clock)
      : m_lengths(lengths), m_clock(clock) {}

  /** Adds a request that was sent to its path. */
  RequestId Begin(RunningRequest request);

  /** Call once for tokens that arrive together. */
  void OnTokens(RequestId id, double tokens);

  /** The request was moved; its tokens so far are now held on this path. */
  void SetPath(RequestId id, LayerPath path);

  void End(RequestId id) { m_requests.erase(id); }

  /** Returns the sums by server. Visits all running requests, so call it once per report or tick.
   */
  std::map<BackendServerName, ServerMemory> Memory() const;

 private:
  struct Progress {
    RunningRequest request;
    EventIntervalTracker events;
    double event_count = 0.0;
    double sent_tokens = 0.0;
  };

  /** Number of tokens that are expected to arrive within `horizon`. */
  double TokensWithin(const Progress& progress, Duration horizon) const;

  const AnswerLengthEstimator& m_lengths;
  const Clock& m_clock;
  std::map<RequestId, Progress> m_requests;
  RequestId m_last_id = 0;
};

}  // namespace zinnia
