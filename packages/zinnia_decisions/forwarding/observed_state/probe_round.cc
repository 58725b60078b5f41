#include "zinnia_decisions/forwarding/observed_state/probe_round.h"

#include <cassert>

namespace zinnia {

void ProbeRound::OnProbeResult(const BackendServerName& server, bool answers) {
  assert(m_pending > 0 && "more results than probes");
  --m_pending;
  m_has_answer = m_has_answer || answers;
  if (!answers) {
    m_silent.push_back(server);
  }
}

std::vector<BackendServerName> ProbeRound::DeadServers() const {
  assert(IsComplete() && "DeadServers called before all probes completed");
  const bool network_works = m_has_answer || m_other_streams_active;
  return network_works ? m_silent : std::vector<BackendServerName>();
}

}  // namespace zinnia
