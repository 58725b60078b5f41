#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_adapters/settings/instance_settings.h"
#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/sessions/session_driver.h"

namespace zinnia {

class BudgetedRecoveryGate;
class CallerServer;
class ChannelReports;
class Clock;
class CompletionChooser;
class ControlSide;
class ControlThread;
class DecisionRecorder;
class FairAdmissionController;
class HttpStageLinks;
class Logger;
class Metrics;
class OnceGateBridge;
class PublishedQuarantine;
class ResumeTokenCodec;
class RetryBudget;
class SuspectClaims;
class SuspectGate;
class TrafficThread;
struct FleetSnapshot;

/** What a traffic side is made with. All references must outlive it. */
struct TrafficSideParts {
  const InstanceSettings& settings;
  std::uint64_t start;
  std::size_t thread_number;
  NetworkAddress address;
  Clock& clock;
  Metrics& metrics;
  Logger& logger;
  DecisionRecorder& recorder;
  const ResumeTokenCodec& resume_tokens;
  ControlThread& control_thread;
  ControlSide& control;
  SuspectClaims& suspect_claims;
  std::function<std::vector<std::string>()> not_ready_reasons;
};

/** Everything that lives on one traffic thread: the callers' server, engine links, admission,
   choice of pipelines, retry budget.

    Create, use and destroy it on its thread (TrafficThread::RunAndWait).
*/
class TrafficSide {
 public:
  /** Throws ErrorException with kInvalidSettings if the callers' address cannot be listened on. */
  TrafficSide(TrafficThread& thread, const TrafficSideParts& parts);
  ~TrafficSide();

  CallerServer& Server() { return *m_server; }

  /** Brings contracts and capacities up to the newest snapshot and moves sessions off servers that
      leave. */
  void OnSnapshot();

 private:
  void UpdateContracts(const FleetSnapshot& snapshot);
  void UpdateCapacities(const FleetSnapshot& snapshot);

  const TrafficSideParts m_parts;
  ConfigurationRevision m_revision = 0;
  std::size_t m_places = 0;
  std::unique_ptr<ChannelReports> m_reports;
  std::unique_ptr<HttpStageLinks> m_links;
  std::unique_ptr<CompletionChooser> m_chooser;
  std::unique_ptr<FairAdmissionController> m_admission;
  std::unique_ptr<RetryBudget> m_retry_budget;
  std::unique_ptr<PublishedQuarantine> m_quarantine;
  std::unique_ptr<BudgetedRecoveryGate> m_budgeted_gate;
  std::unique_ptr<SuspectGate> m_gate;
  std::unique_ptr<OnceGateBridge> m_once_gate;
  std::unique_ptr<CallerServer> m_server;
};

}  // namespace zinnia
