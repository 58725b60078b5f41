#pragma once

#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/forwarding/path_part.h"

namespace zinnia {

/** How a running stream does: what it passes through, and how regularly its events come. */
struct StreamProgress {
  const LayerPath* path = nullptr;
  TimePoint last_event_at{};
  Duration mean_interval{};
};

/** Finds servers through which nothing passes any more, by the events of all streams of this
    instance together.

    One stream alone must be silent for several of its gaps before that means anything; twenty
    streams through one server bring an event every few milliseconds. Engines report a stalled
    server only when the allowed pause is over, so waiting for their word makes every stream of a
    lost stage late.
*/
class SilenceDetector {
 public:
  /** Servers that are suspected now, each once. A suspicion is a reason to ask the server, no
     proof: of a path whose streams share all servers, all are suspected together. */
  static std::vector<PathPart> Suspects(const std::vector<StreamProgress>& streams, TimePoint now);

  /** Whether some stream that passes through no suspect had an event just now. */
  static bool OtherStreamsActive(const std::vector<StreamProgress>& streams,
                                 const std::vector<PathPart>& suspects,
                                 TimePoint now);
};

}  // namespace zinnia
