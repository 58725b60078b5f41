#include "zinnia_adapters/forwarding/forwarding_traffic.h"

#include <utility>

#include "zinnia_adapters/forwarding/exclusion_times.h"
#include "zinnia_adapters/threads/traffic_thread.h"
#include "zinnia_base/logging/logger.h"

namespace zinnia {
ForwardingTraffic::ForwardingTraffic(TrafficThread& thread, ForwardingTrafficParts parts)
    : m_parts(std::move(parts)),
      m_view(std::make_shared<const ForwardingView>()),
      m_random(m_parts.random_seed),
      m_loads(m_parts.clock),
      m_health(m_parts.clock),
      m_limits(m_parts.clock),
      m_pipe(m_parts.clock),
      m_connections(thread.Loop(), m_parts.clock),
      m_paths(m_loads, m_health, m_pipe, m_connections, m_random),
      m_recovery(m_parts.clock, m_paths, m_loads, m_health),
      m_room(m_parts.clock),
      m_departures(m_random, m_parts.departure_notice),
      m_plain_servers(m_loads, m_health, m_random),
      m_retries(m_parts.clock, m_parts.retry_budget),
      m_stalls(m_parts.engine_calls, m_parts.clock),
      m_server(ForwardServer::Create(thread.Loop(),
                                     thread.GetScheduler(),
                                     MakeParts(),
                                     m_parts.callers_address)
                   .value()) {}

ForwardingParts ForwardingTraffic::MakeParts() {
  return {m_parts.clock,
          m_parts.logger,
          m_parts.metrics,
          m_parts.codec,
          m_parts.engine_calls,
          m_loads,
          m_health,
          m_limits,
          m_paths,
          m_recovery,
          m_room,
          m_departures,
          m_pipe,
          m_plain_servers,
          m_retries,
          m_connections,
          m_stalls,
          m_random,
          m_parts.own_failure_domain,
          [this] { return m_view; },
          [this](const std::vector<BackendServerName>& servers) { OnStalledHere(servers); },
          m_parts.tell_server_news};
}

void ForwardingTraffic::SetView(std::shared_ptr<const ForwardingView> view) {
  m_view = std::move(view);
  m_loads.SetPeerCount(m_view->live_instances - 1);
  m_server->OnViewChanged();
}

void ForwardingTraffic::SetDomainUses(const FailureDomainName& domain, LoadBook::Uses uses) {
  m_loads.SetDomainUses(domain, std::move(uses));
}

void ForwardingTraffic::OnPeerPaces(const std::vector<PaceNews>& slow_servers) {
  for (const PaceNews& news : slow_servers) {
    m_health.NotePace(news);
  }
}

void ForwardingTraffic::OnStalledHere(const std::vector<BackendServerName>& servers) {
  for (const BackendServerName& server : servers) {
    m_parts.logger.Log(LogLevel::kInfo, "server_stalled",
                       {{"server", server}, {"seen_by", "self"}});
    m_parts.tell_stall(server);
  }
  m_server->OnServersStalled(servers);
}

void ForwardingTraffic::OnPeerStalls(const std::vector<StallNews>& stalls) {
  std::vector<BackendServerName> servers;
  for (const StallNews& stall : stalls) {
    m_parts.logger.Log(LogLevel::kInfo, "server_stalled",
                       {{"server", stall.server}, {"seen_by", "peer"}});
    if (stall.age < kStalledExclusion) {
      m_health.Suspect(stall.server, kStalledExclusion - stall.age);
      servers.push_back(stall.server);
    }
  }
  m_server->OnServersStalled(servers);
}

}  // namespace zinnia
