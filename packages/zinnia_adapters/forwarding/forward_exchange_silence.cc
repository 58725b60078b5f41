#include <utility>

#include "zinnia_adapters/forwarding/forward_exchange.h"
#include "zinnia_adapters/forwarding/held_attempt.h"
#include "zinnia_adapters/forwarding/server_connection.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/server_health.h"
#include "zinnia_decisions/forwarding/reachability/peer_chooser.h"

// Attempts at silent servers in ForwardExchange: another server is tried beside them.

namespace zinnia {
namespace {

/** Delay until another server is looked for again, when none was secured. */
constexpr Duration kSearchAgainAfter = std::chrono::milliseconds(200);

}  // namespace

void ForwardExchange::TryBesideSilentServer(std::string_view reason) {
  const TimePoint now = m_parts.clock.Now();
  if (now < m_next_search_at) {
    return;
  }
  m_avoided.insert(m_attempt.server);
  const Decision decision = Decide(SendOutcome::kUnknown);
  if (decision.step != NextStep::kSendAgain) {
    m_next_search_at = now + kSearchAgainAfter;
    if (!std::exchange(m_keeps_waiting, true)) {
      LogDecision(decision, "request_keeps_waiting", reason);
    }
    return;
  }
  LogDecision(decision, "request_sent_again", reason);
  m_history.may_have_run = true;
  if (m_attempt.is_at_peer) {
    m_parts.peers.Exclude(m_attempt.server);
  } else {
    m_parts.health.OnOutcome(m_attempt.server, false);
  }
  HoldAttempt();
  Take(*decision.next);
  Send();
}

/** If one is held already, that one has the longer part of the answer. */
void ForwardExchange::HoldAttempt() {
  if (m_held || !m_attempt.connection) {
    Release(m_attempt);
    return;
  }
  const auto weak = weak_from_this();
  m_held = std::make_shared<HeldAttempt>(
      std::move(m_attempt), m_events, weak, [this] { ReturnToHeld("the server goes on"); },
      [this](AnswerFailure failure) { OnHeldLost(failure); });
  m_held->Attempt().connection->SetListener(m_held);
}

void ForwardExchange::ReturnToHeld(std::string_view reason) {
  Release(m_attempt);
  const auto held = std::exchange(m_held, nullptr);
  m_parts.logger.Log(LogLevel::kInfo, "request_returned",
                     {{"request", m_facts.id},
                      {"server", held->Attempt().server},
                      {"from", m_attempt.server},
                      {"reason", std::string(reason)}});
  m_attempt = held->TakeAttempt();
  m_events = held->Events();
  m_attempt.connection->SetListener(weak_from_this());
  ReserveForAttempt();
  ++m_path_changes;
  m_rerouting = false;
  m_failed_reports = 0;
  m_next_search_at = m_parts.clock.Now() + kSearchAgainAfter;
}

void ForwardExchange::ReleaseHeld() {
  if (const auto held = std::exchange(m_held, nullptr)) {
    ServerAttempt attempt = held->TakeAttempt();
    Release(attempt);
  }
}

void ForwardExchange::ReleaseHeldIfEnded(const ForwardingView& view) {
  if (m_held && view.ended_incarnations.contains(m_held->Attempt().server)) {
    ReleaseHeld();
  }
}

void ForwardExchange::OnHeldLost(AnswerFailure failure) {
  const auto held = std::exchange(m_held, nullptr);
  if (failure == AnswerFailure::kBroken) {
    NoteBrokenAnswer(held->Attempt());
  }
}

}  // namespace zinnia
