#include "traffic_side.h"

#include <fmt/format.h>

#include <utility>

#include "channel_reports.h"
#include "control_side.h"
#include "once_gate_bridge.h"
#include "published_quarantine.h"
#include "suspect_gate.h"
#include "zinnia_adapters/callers/caller_server.h"
#include "zinnia_adapters/engines/http_stage_links.h"
#include "zinnia_adapters/threads/control_thread.h"
#include "zinnia_adapters/threads/traffic_thread.h"
#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_decisions/admission/budgeted_recovery_gate.h"
#include "zinnia_decisions/admission/fair_admission_controller.h"
#include "zinnia_decisions/admission/retry_budget.h"
#include "zinnia_decisions/control/instance_control.h"
#include "zinnia_decisions/routing/completion_chooser.h"
#include "zinnia_decisions/routing/pool_capacity.h"

namespace zinnia {
namespace {

/** How long a token may take through a pipeline when it is as full as admission lets it be. Callers
    expect 35 ms for 95 in 100; at 26 ms that held in bench_routing at 95 percent load (97.9 in 100,
   0.931 of the bound answered), at 35 ms 70.0 in 100 with 0.970 of the bound
   (docs/design/routing.md). */
constexpr double kSecondsBetweenTokens = 0.026;

/** Admission counts tokens; capacities come in sessions. */
constexpr double kTokensOfATypicalSession = 300.0;

/** What sessions may spend on recoveries. Each session that was started pays for one: the loss of a
    failure domain fails every session that crosses it at the same moment, and with the usual share
    of a tenth nine in ten of them would be dropped. Recoveries still never outnumber the sessions
    started by more than `max_tokens`, so a pool that fails every attempt sees at most twice its
   load.
 */
RetryBudgetSettings RecoveryBudget() {
  RetryBudgetSettings settings;
  settings.tokens_per_first_attempt = 1.0;
  settings.initial_tokens = 32.0;
  settings.max_tokens = 2'000.0;
  return settings;
}

/** The part of a contract that one traffic thread of one instance enforces. The balancer spreads
    callers evenly, so each place gets an equal part; a concurrency limit is rounded up, since a
   part of zero would mean no limit. */
Organisation ShareOf(Organisation organisation, std::size_t places) {
  organisation.requests_per_second /= static_cast<double>(places);
  const auto parts = static_cast<std::uint32_t>(places);
  organisation.concurrent_requests = (organisation.concurrent_requests + parts - 1) / parts;
  return organisation;
}

CallerLimits MakeCallerLimits(const InstanceSettings& settings) {
  CallerLimits limits;
  limits.most_connections = settings.limits.max_connections / settings.traffic_threads;
  limits.most_exchanges = settings.limits.max_sessions / settings.traffic_threads;
  limits.most_header_bytes = static_cast<std::uint32_t>(settings.limits.max_header_bytes);
  limits.most_body_bytes = settings.limits.max_body_bytes;
  return limits;
}

}  // namespace

TrafficSide::TrafficSide(TrafficThread& thread, const TrafficSideParts& parts) : m_parts(parts) {
  const std::uint64_t seed = Hash64(parts.settings.instance, parts.start + parts.thread_number);
  InstanceControl& control = parts.control.Control();
  const auto to_traffic = [&thread](std::function<void()> call) { thread.Post(std::move(call)); };
  m_reports = std::make_unique<ChannelReports>(parts.clock, parts.control_thread.Poster(),
                                               to_traffic, parts.control);
  m_links = std::make_unique<HttpStageLinks>(
      ChannelParts{thread.Loop(), parts.clock, thread.GetScheduler(), control, *m_reports});
  m_reports->SetLinks(*m_links);
  m_chooser = std::make_unique<CompletionChooser>(parts.clock, RandomSource(seed));
  m_admission = std::make_unique<FairAdmissionController>(parts.clock, thread.GetScheduler(),
                                                          RandomSource(seed + 1));
  m_retry_budget = std::make_unique<RetryBudget>(parts.clock, RecoveryBudget());
  m_quarantine = std::make_unique<PublishedQuarantine>(control);
  m_budgeted_gate = std::make_unique<BudgetedRecoveryGate>(*m_retry_budget, *m_quarantine);
  m_gate = std::make_unique<SuspectGate>(control, parts.suspect_claims, *m_budgeted_gate);
  m_once_gate = std::make_unique<OnceGateBridge>(
      parts.control_thread.Poster(), to_traffic,
      [&control_side = parts.control] { return control_side.Gate(); });
  m_server =
      CallerServer::Create(
          {thread.Loop(), parts.clock, thread.GetScheduler(), control, *m_admission, *m_gate,
           *m_once_gate, *m_chooser, *m_links, parts.resume_tokens, parts.recorder, parts.metrics,
           parts.logger, MakeCallerLimits(parts.settings), parts.not_ready_reasons,
           SessionDriver::Create,
           fmt::format("{}-{:x}-{}", parts.settings.instance, parts.start, parts.thread_number),
           seed + 2},
          parts.address)
          .value();
  OnSnapshot();
}

TrafficSide::~TrafficSide() = default;

void TrafficSide::OnSnapshot() {
  const auto snapshot = m_parts.control.Control().Current();
  UpdateContracts(*snapshot);
  UpdateCapacities(*snapshot);
  m_server->LeaveDrainingServers();
}

void TrafficSide::UpdateContracts(const FleetSnapshot& snapshot) {
  const Configuration& configuration = *snapshot.configuration;
  const std::size_t places = snapshot.live_instances * m_parts.settings.traffic_threads;
  if (configuration.revision() == m_revision && places == m_places) {
    return;
  }
  m_revision = configuration.revision();
  m_places = places;
  for (const auto& [name, organisation] : configuration.organisations()) {
    m_admission->SetContract(ShareOf(organisation, places));
  }
}

void TrafficSide::UpdateCapacities(const FleetSnapshot& snapshot) {
  for (const auto& [name, model] : snapshot.configuration->models()) {
    const double sessions = ConcurrentSessionsFor(snapshot, name, kSecondsBetweenTokens);
    m_admission->SetPoolCapacity(
        name, sessions * kTokensOfATypicalSession / m_parts.settings.traffic_threads);
  }
}

}  // namespace zinnia
