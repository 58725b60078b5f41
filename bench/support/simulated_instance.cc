#include "bench/support/simulated_instance.h"

#include "bench/support/simulated_session.h"
#include "zinnia_decisions/routing/pool_capacity.h"

namespace zinnia::bench {
namespace {

constexpr double kExpectedSecondsPerToken = 0.035;
constexpr double kPromptTokensPerDecode = 16.0;

}  // namespace

SimulatedInstance::SimulatedInstance(Simulation& simulation,
                                     FailureDomainName domain,
                                     std::uint64_t seed)
    : m_simulation(simulation),
      m_domain(std::move(domain)),
      m_chooser(simulation.Settings().make_chooser(simulation.Time(), seed)),
      m_admission(simulation.Time(),
                  simulation.Time(),
                  RandomSource(seed + 1),
                  simulation.Settings().admission) {
  Refresh();
}

void SimulatedInstance::Refresh() {
  m_snapshot = m_simulation.MakeSnapshot(m_domain);
  for (const auto& [model, demand] : m_simulation.Plan().demand) {
    const double cost = demand.answer_tokens + demand.prompt_tokens / kPromptTokensPerDecode;
    m_admission.SetPoolCapacity(
        model,
        cost * ConcurrentSessionsFor(*m_snapshot, model, m_simulation.Settings().capacity_seconds));
  }
}

void SimulatedInstance::Handle(const OfferedRequest& request) {
  const TimePoint now = m_simulation.Time().Now();
  AdmissionRequest asked{.organisation = request.organisation, .pool = request.model};
  asked.cost = request.answer_tokens + request.prompt_tokens / kPromptTokensPerDecode;
  asked.expected_service_time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(request.answer_tokens * kExpectedSecondsPerToken));
  if (request.patience) {
    asked.deadline = request.arrival + *request.patience;
  }
  m_admission.Request(asked, [this, request, now](Result<std::unique_ptr<AdmissionGrant>> grant) {
    if (!grant) {
      const bool at_once = m_simulation.Time().Now() == now;
      m_simulation.Listener().OnRefused(request, grant.error(), at_once);
      return;
    }
    SimulatedSession::Start(m_simulation, *this, request, std::move(*grant));
  });
}

}  // namespace zinnia::bench
