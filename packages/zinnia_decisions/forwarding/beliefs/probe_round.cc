#include "zinnia_decisions/forwarding/beliefs/probe_round.h"

#include <cassert>

namespace zinnia {

void ProbeRound::OnProbeResult(const BackendServerName& server, bool answers) {
  assert(m_waiting > 0 && "more answers than questions");
  --m_waiting;
  m_has_answer = m_has_answer || answers;
  if (!answers) {
    m_silent.push_back(server);
  }
}

std::vector<BackendServerName> ProbeRound::DeadServers() const {
  assert(IsComplete() && "a verdict before all answers are in");
  const bool way_works = m_has_answer || m_other_streams_active;
  return way_works ? m_silent : std::vector<BackendServerName>();
}

}  // namespace zinnia
