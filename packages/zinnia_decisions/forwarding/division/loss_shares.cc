#include "zinnia_decisions/forwarding/division/loss_shares.h"

#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"

namespace zinnia {
namespace {

/** Streams of a lost server are moved within this time. */
constexpr Duration kMemory = std::chrono::seconds(5);

}  // namespace

void LossShares::Remember(const BackendServerName& server) {
  const auto own = m_loads.Own().find(server);
  Use use{m_clock.Now()};
  use.own = own == m_loads.Own().end() ? 0.0 : own->second.token_layers;
  use.total = use.own + m_loads.ReportedUse(server).token_layers;
  const auto remembered = m_uses.find(server);
  if (remembered == m_uses.end() || use.total >= remembered->second.total) {
    m_uses[server] = use;
  }
}

void LossShares::OnReports() {
  std::erase_if(m_uses, [now = m_clock.Now()](const auto& use) {
    return now - use.second.seen_at > kMemory;
  });
  for (const BackendServerName& server : m_loads.ServersInUse()) {
    Remember(server);
  }
}

std::optional<double> LossShares::ShareOfLoss(const BackendServerName& lost) const {
  const auto found = m_uses.find(lost);
  if (found == m_uses.end() || m_clock.Now() - found->second.seen_at > kMemory ||
      found->second.total <= 0.0) {
    return std::nullopt;
  }
  return found->second.own / found->second.total;
}

}  // namespace zinnia
