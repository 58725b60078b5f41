#include "zinnia_decisions/forwarding/load_book.h"

#include <algorithm>
#include <cassert>

namespace zinnia {

void LoadBook::Add(const BackendServerName& server, double token_layers) {
  ServerUse& use = m_own[server];
  ++use.requests;
  use.token_layers += token_layers;
}

void LoadBook::Remove(const BackendServerName& server, double token_layers) {
  const auto found = m_own.find(server);
  assert(found != m_own.end() && found->second.requests > 0 && "Remove without its Add");
  ServerUse& use = found->second;
  --use.requests;
  use.token_layers = std::max(0.0, use.token_layers - token_layers);
  if (use.requests == 0) {
    m_own.erase(found);
  }
}

void LoadBook::SetPeerUses(const InstanceName& instance, Uses uses) {
  m_peers[instance] = {m_clock.Now(), std::move(uses)};
  std::erase_if(m_peers, [now = m_clock.Now()](const auto& peer) {
    return now - peer.second.received_at > kPeerReportLifetime;
  });
}

ServerUse LoadBook::UseOf(const BackendServerName& server) const {
  ServerUse sum;
  const auto own = m_own.find(server);
  if (own != m_own.end()) {
    sum = own->second;
  }
  const TimePoint now = m_clock.Now();
  for (const auto& [instance, report] : m_peers) {
    const auto use = report.uses.find(server);
    if (use != report.uses.end() && now - report.received_at <= kPeerReportLifetime) {
      sum.requests += use->second.requests;
      sum.token_layers += use->second.token_layers;
    }
  }
  return sum;
}

}  // namespace zinnia
