#pragma once

#include "zinnia_base/time/clock.h"

namespace zinnia {

struct ForwardRoute;

/** Timeouts after which the servers of a silent stream are probed and its first server is
    abandoned. Both derive from the objectives of the route, so that a dead server is detected
    before the answer is late.

    Must not outlive its route.
*/
class SilencePolicy {
 public:
  explicit SilencePolicy(const ForwardRoute& route) : m_route(route) {}

  /** Silence after which the servers of the stream are probed. */
  Duration ProbeAfter(bool has_begun) const;

  /** Silence after which a first server that doesn't answer probes is abandoned. */
  Duration AbandonAfter(bool has_begun) const;

 private:
  const ForwardRoute& m_route;
};

}  // namespace zinnia
