#include "zinnia_adapters/forwarding/reachability_watch.h"

#include <utility>

#include "zinnia_adapters/forwarding/connection_probe.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/once/alive_guard.h"
#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {
namespace {

/** A few round trips between failure domains, and the time of a busy server. */
constexpr Duration kTryLimit = std::chrono::milliseconds(200);

/** Servers that are tried to confirm that this instance reaches any. */
constexpr std::size_t kTriedToConfirm = 3;

/** In a smaller fleet nothing is confirmed. */
constexpr std::size_t kFewestServers = 4;

std::vector<BackendServerName> NamesOfServers(const ForwardingView& view) {
  std::vector<BackendServerName> names;
  names.reserve(view.servers.size());
  for (const auto& [name, server] : view.servers) {
    names.push_back(name);
  }
  return names;
}

}  // namespace

ReachabilityWatch::ReachabilityWatch(boost::asio::io_context& loop,
                                     const Clock& clock,
                                     RandomSource& random,
                                     Logger& logger,
                                     Metrics& metrics,
                                     ViewSource view,
                                     std::function<void()> on_cut_off)
    : m_loop(loop),
      m_logger(logger),
      m_metrics(metrics),
      m_view(std::move(view)),
      m_on_cut_off(std::move(on_cut_off)),
      m_reachability(clock, random) {}

void ReachabilityWatch::OnConnected() {
  const Reachability before = m_reachability.State();
  m_reachability.OnConnected();
  LogChange(before);
}

void ReachabilityWatch::OnConnectFailed(const BackendServerName& server) {
  const Reachability before = m_reachability.State();
  m_reachability.OnConnectFailed(server);
  LogChange(before);
}

void ReachabilityWatch::Tick() {
  const auto view = m_view();
  const Reachability before = m_reachability.State();
  std::vector<BackendServerName> chosen;
  if (m_reachability.IsTryDue(view->servers.size())) {
    chosen = m_reachability.TakeServersToTry(NamesOfServers(*view));
  }
  LogChange(before);
  for (const BackendServerName& server : chosen) {
    Try(server, [](bool) {});
  }
}

void ReachabilityWatch::Try(const BackendServerName& server, std::function<void(bool)> callback) {
  ProbeConnection(m_loop, m_view()->servers.at(server).address, Duration::zero(), kTryLimit,
                  WhileAlive(m_alive, [this, server, callback = std::move(callback)](
                                          ConnectionProbeResult result) {
                    const bool accepted = result == ConnectionProbeResult::kAccepted;
                    if (accepted) {
                      OnConnected();
                    } else {
                      OnConnectFailed(server);
                    }
                    callback(accepted);
                  }));
}

void ReachabilityWatch::Confirm(std::function<void(bool)> callback) {
  if (IsCutOff()) {
    callback(false);
    return;
  }
  const auto view = m_view();
  if (view->servers.size() < kFewestServers) {
    callback(true);
    return;
  }
  m_confirming.push_back(std::move(callback));
  if (m_confirming.size() == 1) {
    ConfirmAt(m_reachability.ChooseToTry(NamesOfServers(*view), kTriedToConfirm));
  }
}

/** Tries one after the other, since the first usually accepts. */
void ReachabilityWatch::ConfirmAt(std::vector<BackendServerName> servers) {
  while (!servers.empty() && !m_view()->servers.contains(servers.back())) {
    servers.pop_back();
  }
  if (servers.empty()) {
    EndConfirmation(false);
    return;
  }
  const BackendServerName server = servers.back();
  servers.pop_back();
  Try(server, [this, servers = std::move(servers)](bool accepted) {
    if (accepted) {
      EndConfirmation(true);
    } else {
      ConfirmAt(servers);
    }
  });
}

void ReachabilityWatch::EndConfirmation(bool reaches_servers) {
  for (const auto& callback : std::exchange(m_confirming, {})) {
    callback(reaches_servers);
  }
}

void ReachabilityWatch::LogChange(Reachability before) {
  const Reachability now = m_reachability.State();
  if (now == before) {
    return;
  }
  m_metrics.SetGauge("servers_reached", now == Reachability::kNone ? 0.0 : 1.0);
  const bool is_cut_off = now == Reachability::kNone;
  m_logger.Log(is_cut_off ? LogLevel::kWarning : LogLevel::kInfo, "server_reachability",
               {{"state", std::string(NameOf(now))}, {"before", std::string(NameOf(before))}});
  if (is_cut_off) {
    m_on_cut_off();
  }
}

}  // namespace zinnia
