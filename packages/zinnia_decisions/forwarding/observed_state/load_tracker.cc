#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace zinnia {
namespace {

/** Typical age of peers' reports; newer choices of peers are estimated. */
constexpr std::chrono::duration<double> kReportAge{0.25};

/** By then reports include what peers began at the time when this instance started. */
constexpr Duration kStartupPeriod = std::chrono::milliseconds(1'500);

/** How strongly choices of different instances correlate, from 0 to 1. High, since they see nearly
    the same loads; 1 would mean that no request ever takes another path. */
constexpr double kChoiceCorrelation = 0.6;

/** Upper limit of peers assumed to choose like this instance: larger fleets spread requests at
    random, see PathFinder. */
constexpr double kMaxCorrelatedPeers = 20.0;

}  // namespace

bool LoadTracker::HasJustStarted() const {
  return m_clock.Now() - m_started_at < kStartupPeriod;
}

LoadTracker::RecentAdditions LoadTracker::Decayed(const RecentAdditions& additions) const {
  const std::chrono::duration<double> age = m_clock.Now() - additions.changed_at;
  const double factor = std::exp(-age / kReportAge);
  return {m_clock.Now(), additions.requests * factor, additions.token_layers * factor,
          additions.begun * factor};
}

void LoadTracker::Add(const BackendServerName& server, double token_layers, bool begins) {
  ServerUse& use = m_own[server];
  ++use.requests;
  use.token_layers += token_layers;
  use.first_stage_requests += begins ? 1 : 0;
  m_own_begun += begins ? 1 : 0;
  m_history.Set(server, use);
  RecentAdditions& recent = m_recent[server];
  recent = Decayed(recent);
  recent.requests += 1;
  recent.token_layers += token_layers;
  recent.begun += begins ? 1 : 0;
}

void LoadTracker::Remove(const BackendServerName& server, double token_layers, bool begins) {
  const auto found = m_own.find(server);
  assert(found != m_own.end() && found->second.requests > 0 && "Remove without its Add");
  ServerUse& use = found->second;
  --use.requests;
  use.first_stage_requests -= begins ? 1 : 0;
  m_own_begun -= begins ? 1 : 0;
  use.token_layers = std::max(0.0, use.token_layers - token_layers);
  m_history.Set(server, use);
  if (use.requests == 0) {
    m_own.erase(found);
    m_recent.erase(server);
  }
}

void LoadTracker::SetDomainUses(const FailureDomainName& domain, Uses uses) {
  m_domains[domain] = {m_clock.Now(), std::move(uses)};
  UpdateOthersBegun();
  UpdateReportedUses();
  m_history.RemoveExpired();
}

void LoadTracker::UpdateReportedUses() {
  m_reported.clear();
  m_reported_until = TimePoint::max();
  for (const auto& [domain, report] : m_domains) {
    m_reported_until = std::min(m_reported_until, report.received_at + kReportLifetime);
    for (const auto& [server, use] : report.uses) {
      ServerUse& sum = m_reported[server];
      sum.requests += use.requests;
      sum.token_layers += use.token_layers;
      sum.first_stage_requests += use.first_stage_requests;
    }
  }
}

ServerUse LoadTracker::ReportedUse(const BackendServerName& server) const {
  if (m_clock.Now() <= m_reported_until) {
    const auto found = m_reported.find(server);
    return found == m_reported.end() ? ServerUse() : found->second;
  }
  ServerUse sum;
  AddReports(server, sum);
  return sum;
}

std::set<BackendServerName> LoadTracker::ServersInUse() const {
  std::set<BackendServerName> servers;
  for (const auto& [server, use] : m_own) {
    servers.insert(server);
  }
  for (const auto& [domain, report] : m_domains) {
    for (const auto& [server, use] : report.uses) {
      servers.insert(server);
    }
  }
  return servers;
}

void LoadTracker::AddReports(const BackendServerName& server, ServerUse& sum) const {
  for (const auto& [domain, report] : m_domains) {
    const auto use = report.uses.find(server);
    if (use != report.uses.end() && m_clock.Now() - report.received_at <= kReportLifetime) {
      sum.requests += use->second.requests;
      sum.token_layers += use->second.token_layers;
      sum.first_stage_requests += use->second.first_stage_requests;
    }
  }
}

/** Callers are spread unevenly, and during a rolling restart one instance may take a third of all
    traffic. Assuming that each peer takes as much would overestimate the load and refuse requests
    although memory is free. */
double LoadTracker::OthersTrafficRatio() const {
  const double share = static_cast<double>(m_others_begun) / std::max(1U, m_own_begun);
  return std::min(static_cast<double>(m_peer_count), share);
}

void LoadTracker::UpdateOthersBegun() {
  std::erase_if(m_domains, [now = m_clock.Now()](const auto& report) {
    return now - report.second.received_at > kReportLifetime;
  });
  m_others_begun = 0;
  for (const auto& [domain, report] : m_domains) {
    for (const auto& [server, use] : report.uses) {
      m_others_begun += use.first_stage_requests;
    }
  }
}

/** Peers that see the same loads choose the same server at the same time. Without this estimate
    they would overfill it before the next reports arrive. */
void LoadTracker::AddEstimate(const BackendServerName& server, ServerUse& sum) const {
  const auto found = m_recent.find(server);
  if (found == m_recent.end()) {
    return;
  }
  const RecentAdditions recent = Decayed(found->second);
  const double others = kChoiceCorrelation * std::min(OthersTrafficRatio(), kMaxCorrelatedPeers);
  sum.requests += static_cast<std::uint32_t>(recent.requests * others);
  sum.token_layers += recent.token_layers * others;
  sum.first_stage_requests += static_cast<std::uint32_t>(recent.begun * others);
}

ServerUse LoadTracker::UseOf(const BackendServerName& server) const {
  ServerUse own;
  const auto found = m_own.find(server);
  if (found != m_own.end()) {
    own = found->second;
  }
  ServerUse others;
  AddReports(server, others);
  AddEstimate(server, others);
  if (HasJustStarted()) {
    const double peers = kChoiceCorrelation * static_cast<double>(m_peer_count);
    others.requests = std::max(others.requests, static_cast<std::uint32_t>(own.requests * peers));
    others.token_layers = std::max(others.token_layers, own.token_layers * peers);
    others.first_stage_requests = std::max(
        others.first_stage_requests, static_cast<std::uint32_t>(own.first_stage_requests * peers));
  }
  return {own.requests + others.requests, own.token_layers + others.token_layers,
          own.first_stage_requests + others.first_stage_requests};
}

}  // namespace zinnia
