#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "bench/support/fleet_plan.h"
#include "bench/support/simulated_network.h"
#include "bench/support/simulated_server.h"
#include "bench/support/simulation_time.h"
#include "bench/support/workload.h"
#include "zinnia_decisions/admission/fair_admission_controller.h"
#include "zinnia_decisions/routing/pipeline_chooser.h"

namespace zinnia::bench {

class SimulatedInstance;
class SimulatedSession;

/** Hears how each request ended. */
class OutcomeListener {
 public:
  virtual ~OutcomeListener() = default;
  virtual void OnToken(const OfferedRequest& request, Duration since_last, bool first) = 0;
  virtual void OnAnswered(const OfferedRequest& request, bool steady) = 0;
  virtual void OnRefused(const OfferedRequest& request, const Error& error, bool at_once) = 0;
  virtual void OnFailed(const OfferedRequest& request) = 0;
};

/** Makes the chooser under test for one instance. */
using ChooserFactory =
    std::function<std::unique_ptr<PipelineChooser>(const Clock& clock, std::uint64_t seed)>;

/** What differs between simulations. */
struct SimulationSettings {
  ChooserFactory make_chooser;
  Duration load_lag = std::chrono::seconds(1);
  AdmissionSettings admission;
  double capacity_seconds = 0.05;
  std::uint64_t seed = 1;
};

/** A fleet in virtual time with several instances, each with its own chooser and admission, its own
    late view of the loads, and no other knowledge of the others. */
class Simulation {
 public:
  Simulation(FleetPlan plan, SimulationSettings settings, OutcomeListener& listener);
  ~Simulation();

  SimulationTime& Time() { return m_time; }
  SimulatedNetwork& Network() { return m_network; }
  OutcomeListener& Listener() { return m_listener; }
  const FleetPlan& Plan() const { return m_plan; }
  const SimulationSettings& Settings() const { return m_settings; }
  SimulatedServer& ServerNamed(const BackendServerName& name) { return *m_servers.at(name); }
  std::size_t InstanceCount() const { return m_instances.size(); }

  /** Schedules the request at its arrival, at a random instance. */
  void Offer(const OfferedRequest& request);

  /** Kills a server for that long; sessions on it notice after the detection time. */
  void KillServer(const BackendServerName& name, Duration downtime);

  /** Gives place `index` a new instance without memory; the old one finishes what it has. */
  void ReplaceInstance(std::size_t index);

  void SetContract(const Organisation& organisation);

  /** What an instance believes now: loads as late as the settings say, dead servers suspect. */
  std::shared_ptr<FleetSnapshot> MakeSnapshot(const FailureDomainName& domain) const;

  void KeepSession(std::unique_ptr<SimulatedSession> session);

 private:
  void Tick();
  double EstimateError(const BackendServerName& name) const;

  const FleetPlan m_plan;
  const SimulationSettings m_settings;
  OutcomeListener& m_listener;
  SimulationTime m_time;
  SimulatedNetwork m_network;
  RandomSource m_random;
  std::unordered_map<BackendServerName, std::unique_ptr<SimulatedServer>> m_servers;
  std::vector<std::unique_ptr<SimulatedInstance>> m_instances;
  std::vector<std::unique_ptr<SimulatedInstance>> m_retired;
  std::vector<std::unique_ptr<SimulatedSession>> m_sessions;
  std::vector<Organisation> m_contracts;
  std::uint64_t m_next_seed;
  mutable std::uint64_t m_next_sequence = 1;
};

}  // namespace zinnia::bench
