#include "bench/support/simulated_session.h"

#include <algorithm>
#include <utility>

#include "bench/support/simulated_instance.h"

namespace zinnia::bench {
namespace {

constexpr Duration kSteadyBetweenTokens = std::chrono::milliseconds(35);
constexpr Duration kSteadyFirstToken = std::chrono::milliseconds(1'100);

}  // namespace

void SimulatedSession::Start(Simulation& simulation,
                             SimulatedInstance& instance,
                             const OfferedRequest& request,
                             std::unique_ptr<AdmissionGrant> grant) {
  auto session = std::unique_ptr<SimulatedSession>(
      new SimulatedSession(simulation, instance, request, std::move(grant)));
  SimulatedSession& kept = *session;
  simulation.KeepSession(std::move(session));
  if (kept.TakeRoute(instance.Chooser().Choose(instance.Snapshot(), kept.m_query))) {
    kept.StartAttempt();
  }
}

SimulatedSession::SimulatedSession(Simulation& simulation,
                                   SimulatedInstance& instance,
                                   const OfferedRequest& request,
                                   std::unique_ptr<AdmissionGrant> grant)
    : m_simulation(simulation),
      m_instance(instance),
      m_request(request),
      m_grant(std::move(grant)),
      m_query{.model = request.model,
              .prompt_tokens = request.prompt_tokens,
              .answer_tokens = request.answer_tokens,
              .prefix_hash = request.prefix_hash},
      m_last_token_at(request.arrival) {}

void SimulatedSession::OnStepRun(std::uint32_t attempt) {
  if (m_over || attempt != m_attempt) {
    return;
  }
  const bool last = m_hop + 1 == m_servers.size();
  const double bytes = last ? kTokenBytes : StateBytes();
  const Duration back = m_simulation.Network().Transfer(m_servers[m_hop]->Server().failure_domain,
                                                        m_instance.Domain(), bytes);
  m_simulation.Time().Post(back, [this, attempt] {
    if (!m_over && attempt == m_attempt) {
      OnBackAtInstance();
    }
  });
}

void SimulatedSession::OnServerLost(const BackendServerName& server) {
  const auto lost = std::ranges::find(m_route.hops, server, &Route::Hop::server);
  if (m_over || lost == m_route.hops.end()) {
    return;
  }
  const auto hop = static_cast<std::size_t>(lost - m_route.hops.begin());
  m_query.excluded.insert(server);
  const Route old_route = m_route;
  LeaveRoute();
  auto replaced = m_instance.Chooser().Replace(m_instance.Snapshot(), old_route, hop, m_query);
  if (!replaced) {
    replaced = m_instance.Chooser().Choose(m_instance.Snapshot(), m_query);
  }
  if (TakeRoute(std::move(replaced))) {
    StartAttempt();
  }
}

bool SimulatedSession::TakeRoute(Result<RouteChoice> choice) {
  if (!choice) {
    Finish(false);
    return false;
  }
  m_route = choice->route;
  m_servers.clear();
  for (const Route::Hop& hop : m_route.hops) {
    m_servers.push_back(&m_simulation.ServerNamed(hop.server));
    m_servers.back()->AddSession();
  }
  m_instance.Chooser().OnSent(m_route, m_query);
  return true;
}

void SimulatedSession::LeaveRoute() {
  for (SimulatedServer* server : m_servers) {
    server->RemoveSession();
  }
  m_servers.clear();
  if (!m_route.hops.empty()) {
    m_instance.Chooser().OnFinished(m_route, m_query);
    m_route.hops.clear();
  }
}

void SimulatedSession::StartAttempt() {
  ++m_attempt;
  m_step_prompt_tokens = UncachedTokens() + m_tokens;
  SendToHop(0);
}

std::uint32_t SimulatedSession::UncachedTokens() {
  if (m_request.shared_prefix_tokens == 0) {
    return m_request.prompt_tokens;
  }
  const bool cached = std::ranges::all_of(m_servers, [this](const SimulatedServer* server) {
    return server->HoldsPrefix(m_request.prefix_hash);
  });
  for (SimulatedServer* server : m_servers) {
    server->UsePrefix(m_request.prefix_hash);
  }
  return m_request.prompt_tokens - (cached ? m_request.shared_prefix_tokens : 0);
}

void SimulatedSession::SendToHop(std::size_t hop) {
  m_hop = hop;
  const double bytes = hop == 0 ? kTokenBytes : StateBytes();
  const Duration out = m_simulation.Network().Transfer(
      m_instance.Domain(), m_servers[hop]->Server().failure_domain, bytes);
  m_simulation.Time().Post(out, [this, attempt = m_attempt] {
    if (!m_over && attempt == m_attempt) {
      m_servers[m_hop]->Enqueue(*this, attempt, m_step_prompt_tokens);
    }
  });
}

void SimulatedSession::OnBackAtInstance() {
  if (m_hop + 1 < m_servers.size()) {
    SendToHop(m_hop + 1);
    return;
  }
  OnToken();
}

void SimulatedSession::OnToken() {
  const TimePoint now = m_simulation.Time().Now();
  m_simulation.Listener().OnToken(m_request, now - m_last_token_at, m_tokens == 0);
  m_first_token_at = m_tokens == 0 ? now : m_first_token_at;
  m_last_token_at = now;
  ++m_tokens;
  m_step_prompt_tokens = 0;
  if (m_tokens >= m_request.answer_tokens) {
    Finish(true);
    return;
  }
  SendToHop(0);
}

void SimulatedSession::Finish(bool answered) {
  m_over = true;
  LeaveRoute();
  m_grant.reset();
  if (!answered) {
    m_simulation.Listener().OnFailed(m_request);
    return;
  }
  const Duration mean = (m_last_token_at - m_first_token_at) / std::max(1U, m_tokens - 1);
  const bool steady =
      mean <= kSteadyBetweenTokens && m_first_token_at - m_request.arrival <= kSteadyFirstToken;
  m_simulation.Listener().OnAnswered(m_request, steady);
}

double SimulatedSession::StateBytes() const {
  return kStateBytes * std::max(1U, m_step_prompt_tokens);
}

}  // namespace zinnia::bench
