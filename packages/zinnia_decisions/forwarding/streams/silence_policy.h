#pragma once

#include "zinnia_base/time/clock.h"

namespace zinnia {

struct ForwardRoute;

/** How long one stream may be silent before its servers are asked, and before its first server is
    left. Both follow from what the route's callers count as late: a limit that is longer than that
    finds a dead server only when the answer is late already.

    Lives as long as its route.
*/
class SilencePolicy {
 public:
  explicit SilencePolicy(const ForwardRoute& route) : m_route(route) {}

  /** Silence that is looked into. */
  Duration ProbeAfter(bool has_begun) const;

  /** Silence after which a first server that does not answer questions either is left. */
  Duration AbandonAfter(bool has_begun) const;

 private:
  const ForwardRoute& m_route;
};

}  // namespace zinnia
