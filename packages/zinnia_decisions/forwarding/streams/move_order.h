#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** What decides in which order streams move off a lost server. */
struct MoveRank {
  /** Whether the pause so far is within the route's objective between events. */
  bool is_on_time = true;

  /** Position of the stream's class; 0 is the most urgent. */
  std::size_t urgency_class = 0;

  /** Expected time until the stream ends. */
  Duration expected_rest{};
};

/** Whether a stream that has been silent for `pause` is still on time. Without an objective (zero)
    it always is. */
bool IsPauseOnTime(Duration pause, Duration event_gap_objective);

/** Order in which the streams that lose a server are moved.

    Memory on replacement servers may not suffice for all. It goes first to streams that are still
    on time, since the others have missed their objective already; then to urgent classes; then to
    streams that end soon, which release it soon.
*/
class MoveOrder {
 public:
  /** Returns the indices of `ranks` in the order of moves. Streams without a rank keep their
      positions relative to each other and come first. */
  static std::vector<std::size_t> Of(const std::vector<std::optional<MoveRank>>& ranks);
};

}  // namespace zinnia
