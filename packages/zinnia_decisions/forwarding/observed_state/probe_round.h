#pragma once

#include <cstddef>
#include <vector>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** Collects the results of probing servers that became silent together.

    Silent servers may be dead, or this instance may be partitioned from them. Servers count as dead
    only if another probe of the round succeeded or streams over other paths are active. Otherwise a
    partitioned instance would take all servers out of use.
*/
class ProbeRound {
 public:
  /** `other_streams_active`: whether streams of this instance that use none of the probed servers
      still receive events. */
  ProbeRound(std::size_t probed, bool other_streams_active)
      : m_pending(probed), m_other_streams_active(other_streams_active) {}

  void OnProbeResult(const BackendServerName& server, bool answers);

  bool IsComplete() const { return m_pending == 0; }

  /** Servers that this round found dead. Requires IsComplete(). */
  std::vector<BackendServerName> DeadServers() const;

 private:
  std::size_t m_pending;
  const bool m_other_streams_active;
  bool m_has_answer = false;
  std::vector<BackendServerName> m_silent;
};

}  // namespace zinnia
