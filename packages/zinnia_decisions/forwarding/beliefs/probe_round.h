#pragma once

#include <cstddef>
#include <vector>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** The answers to one round of probes of servers that fell silent together, and what they prove.

    Silence has two causes that look alike: servers have died, or this instance's own way to them is
    cut. All servers of a path fall silent with it, so most of a round may well be dead: three of a
    path of four, in one rack. One answer, or events over some other path meanwhile, show that the
    way works. Without either nobody is named: one would notice an instance that was cut off
    and took the servers of the whole fleet out of use.
*/
class ProbeRound {
 public:
  /** `other_streams_active`: streams of this instance that pass through none of the probed servers
     have events. */
  ProbeRound(std::size_t probed, bool other_streams_active)
      : m_pending(probed), m_other_streams_active(other_streams_active) {}

  void OnProbeResult(const BackendServerName& server, bool answers);

  bool IsComplete() const { return m_pending == 0; }

  /** Servers that are dead as far as this round can tell. Only once it is complete. */
  std::vector<BackendServerName> DeadServers() const;

 private:
  std::size_t m_pending;
  const bool m_other_streams_active;
  bool m_has_answer = false;
  std::vector<BackendServerName> m_silent;
};

}  // namespace zinnia
