#include "zinnia_adapters/forwarding/stall_inquiry.h"

#include <memory>
#include <utility>

#include "zinnia_decisions/forwarding/observed_state/probe_round.h"

namespace zinnia {

void StallInquiry::Ask(const PathPart& first, Callback callback) {
  Inquiry& inquiry = m_inquiries[first.server];
  const bool fresh =
      inquiry.answered_at != TimePoint() && m_clock.Now() - inquiry.answered_at < kReportLifetime;
  if (!inquiry.in_flight && fresh) {
    callback(inquiry.report);
    return;
  }
  inquiry.waiting.push_back(std::move(callback));
  if (inquiry.in_flight) {
    return;
  }
  inquiry.in_flight = true;
  m_calls.ReadReport(first, [this, server = first.server](Result<EngineReport> report) {
    Inquiry& answered = m_inquiries[server];
    answered.in_flight = false;
    answered.answered_at = m_clock.Now();
    answered.report = std::move(report);
    const Result<EngineReport> result = answered.report;
    for (const Callback& waiting : std::exchange(answered.waiting, {})) {
      waiting(result);
    }
  });
}

bool StallInquiry::TryBeginProbe(const BackendServerName& server) {
  TimePoint& probed_at = m_probed_at[server];
  if (probed_at != TimePoint() && m_clock.Now() - probed_at < kProbeAgainAfter) {
    return false;
  }
  probed_at = m_clock.Now();
  return true;
}

void StallInquiry::Confirm(const PathPart& accused,
                           const std::string& health_path,
                           const std::function<void(const BackendServerName&)>& on_dead,
                           const std::function<void(const BackendServerName&)>& on_draining) {
  if (!TryBeginProbe(accused.server)) {
    return;
  }
  m_calls.Probe(accused, [this, accused, health_path, on_dead, on_draining](bool answers) {
    if (!answers) {
      on_dead(accused.server);
      return;
    }
    if (health_path.empty()) {
      return;
    }
    m_calls.AskHealth(accused, health_path,
                      [server = accused.server, on_draining](HealthAnswer answer) {
                        if (answer == HealthAnswer::kRefuses) {
                          on_draining(server);
                        }
                      });
  });
}

void StallInquiry::Check(const std::vector<PathPart>& suspects,
                         bool other_streams_active,
                         const OnSilent& on_silent,
                         const OnDead& on_dead) {
  std::vector<PathPart> due;
  for (const PathPart& suspect : suspects) {
    if (TryBeginProbe(suspect.server)) {
      due.push_back(suspect);
    }
  }
  const auto round = std::make_shared<ProbeRound>(due.size(), other_streams_active);
  for (const PathPart& suspect : due) {
    m_calls.Probe(suspect, [round, server = suspect.server, on_silent, on_dead](bool answers) {
      if (!answers) {
        on_silent(server);
      }
      round->OnProbeResult(server, answers);
      if (!round->IsComplete()) {
        return;
      }
      const std::vector<BackendServerName> dead = round->DeadServers();
      if (!dead.empty()) {
        on_dead(dead);
      }
    });
  }
}

}  // namespace zinnia
