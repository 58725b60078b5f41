#pragma once

#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/forwarding/path_part.h"

namespace zinnia {

/** Path of a running stream and the timing of its events. */
struct StreamProgress {
  const LayerPath* path = nullptr;
  TimePoint last_event_at{};
  Duration mean_interval{};
};

/** Detects silent servers from the combined events of all streams of this instance.

    Many streams through one server yield an event every few milliseconds, so a stall shows much
    sooner than in a single stream. Engines report a stalled server only after the allowed event
    interval has passed, when every stream through it is late already.
*/
class SilenceDetector {
 public:
  /** Returns the silent servers, each once. They should be probed before they are treated as dead:
      if all streams of a path share its servers, all of these are suspects together. */
  static std::vector<PathPart> FindSuspects(const std::vector<StreamProgress>& streams,
                                            TimePoint now);

  /** Whether a stream that passes through no suspect received an event recently, and well after the
      last one of the suspects. */
  static bool OtherStreamsActive(const std::vector<StreamProgress>& streams,
                                 const std::vector<PathPart>& suspects,
                                 TimePoint now);
};

}  // namespace zinnia
