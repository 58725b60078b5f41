#pragma once

#include <memory>

#include "bench/support/simulation.h"

namespace zinnia::bench {

/** One entry instance: admission, chooser, and its picture of the fleet. */
class SimulatedInstance {
 public:
  SimulatedInstance(Simulation& simulation, FailureDomainName domain, std::uint64_t seed);

  const FailureDomainName& Domain() const { return m_domain; }
  PipelineChooser& Chooser() { return *m_chooser; }
  FairAdmissionController& Admission() { return m_admission; }
  const FleetSnapshot& Snapshot() const { return *m_snapshot; }

  /** Takes a new snapshot and sets the pools' capacity by it. */
  void Refresh();

  /** Asks for admission and starts the session once it is granted. */
  void Handle(const OfferedRequest& request);

 private:
  Simulation& m_simulation;
  const FailureDomainName m_domain;
  std::unique_ptr<PipelineChooser> m_chooser;
  FairAdmissionController m_admission;
  std::shared_ptr<const FleetSnapshot> m_snapshot;
};

}  // namespace zinnia::bench
