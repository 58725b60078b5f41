#include "bench/support/simulation.h"

#include <algorithm>
#include <utility>

#include "bench/support/simulated_instance.h"
#include "bench/support/simulated_session.h"
#include "zinnia_base/hashing/fingerprint.h"

namespace zinnia::bench {
namespace {

constexpr Duration kSnapshotInterval = std::chrono::milliseconds(100);
constexpr Duration kDetectionTime = std::chrono::milliseconds(150);

/** Engines' own idea of their rate is wrong by up to this share either way. */
constexpr double kRateError = 0.1;

}  // namespace

Simulation::Simulation(FleetPlan plan, SimulationSettings settings, OutcomeListener& listener)
    : m_plan(std::move(plan)),
      m_settings(std::move(settings)),
      m_listener(listener),
      m_network(m_time, m_plan),
      m_random(m_settings.seed),
      m_next_seed(m_settings.seed * 1'000) {
  for (const BackendServer& server : m_plan.servers) {
    m_servers[server.name] = std::make_unique<SimulatedServer>(m_time, server);
  }
  for (const FailureDomainName& domain : m_plan.instance_domains) {
    m_instances.push_back(std::make_unique<SimulatedInstance>(*this, domain, m_next_seed += 10));
  }
  Tick();
}

Simulation::~Simulation() {
  m_sessions.clear();
}

void Simulation::Offer(const OfferedRequest& request) {
  const std::size_t instance = RandomBelow(m_random, m_instances.size());
  m_time.Post(request.arrival - m_time.Now(),
              [this, request, instance] { m_instances[instance]->Handle(request); });
}

void Simulation::KillServer(const BackendServerName& name, Duration downtime) {
  m_servers.at(name)->Kill();
  m_time.Post(kDetectionTime, [this, name] {
    for (const auto& instance : m_instances) {
      instance->Refresh();
    }
    for (std::size_t session = 0; session < m_sessions.size(); ++session) {
      m_sessions[session]->OnServerLost(name);
    }
  });
  m_time.Post(downtime, [this, name] { m_servers.at(name)->Revive(); });
}

void Simulation::ReplaceInstance(std::size_t index) {
  m_retired.push_back(std::move(m_instances[index]));
  m_instances[index] =
      std::make_unique<SimulatedInstance>(*this, m_plan.instance_domains[index], m_next_seed += 10);
  for (const Organisation& contract : m_contracts) {
    m_instances[index]->Admission().SetContract(contract);
  }
}

void Simulation::SetContract(const Organisation& organisation) {
  m_contracts.push_back(organisation);
  for (const auto& instance : m_instances) {
    instance->Admission().SetContract(organisation);
  }
}

std::shared_ptr<FleetSnapshot> Simulation::MakeSnapshot(const FailureDomainName& domain) const {
  auto snapshot = std::make_shared<FleetSnapshot>();
  snapshot->sequence = m_next_sequence++;
  snapshot->taken_at = m_time.Now();
  snapshot->own_failure_domain = domain;
  snapshot->pipelines = m_plan.pipelines;
  snapshot->links = m_network.PresentLinks();
  snapshot->live_instances = m_plan.instance_domains.size();
  for (const auto& [name, server] : m_servers) {
    ServerView view{.server = server->Server()};
    view.state = server->IsDead() ? BackendServerState::kGone : BackendServerState::kLive;
    view.load.reported_running = server->SessionsBefore(m_settings.load_lag);
    view.load.reported_at = m_time.Now();
    const double known = EstimateError(name);
    view.load.decode_tokens_per_second = known / server->Cost().FullBatchSecondsPerToken();
    view.load.prefill_tokens_per_second = known / server->Cost().seconds_per_prefill;
    snapshot->servers[name] = view;
  }
  return snapshot;
}

void Simulation::KeepSession(std::unique_ptr<SimulatedSession> session) {
  m_sessions.push_back(std::move(session));
}

void Simulation::Tick() {
  for (const auto& [name, server] : m_servers) {
    server->SampleLoad();
  }
  for (const auto& instance : m_instances) {
    instance->Refresh();
  }
  m_time.Post(kSnapshotInterval, [this] { Tick(); });
}

double Simulation::EstimateError(const BackendServerName& name) const {
  const std::uint64_t drawn = Hash64(name, m_settings.seed) % 1'001;
  return 1.0 + kRateError * (static_cast<double>(drawn) / 500.0 - 1.0);
}

}  // namespace zinnia::bench
