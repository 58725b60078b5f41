#include <boost/beast/http/field.hpp>
#include <optional>
#include <utility>

#include "zinnia_adapters/forwarding/forward_exchange.h"
#include "zinnia_adapters/forwarding/forward_outcomes.h"
#include "zinnia_adapters/forwarding/held_attempt.h"
#include "zinnia_adapters/forwarding/server_connection.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/server_health.h"
#include "zinnia_decisions/forwarding/reachability/peer_chooser.h"
#include "zinnia_decisions/forwarding/streams/silence_policy.h"

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

/** A success that the server has signed for this request, as it is. */
bool ForwardExchange::IsUsable(unsigned status, const boost::beast::http::fields& fields) const {
  ServerAttempt answered;
  answered.server = m_held->Attempt().server;
  answered.connection = m_held->Attempt().connection;
  answered.is_at_peer = m_held->Attempt().is_at_peer;
  ReadHead(status, fields, answered);
  return IsSuccess(status) && !IsOfAnotherRequest(answered) && IsServersOwn(answered);
}

/** If one is held already, that one has the longer part of the answer. */
void ForwardExchange::HoldAttempt() {
  if (m_held || !m_attempt.connection) {
    Release(m_attempt);
    return;
  }
  const bool is_stream = m_route->repeatability == Repeatability::kStream;
  HeldAttempt::Callbacks callbacks;
  callbacks.is_usable = [this](unsigned status, const boost::beast::http::fields& fields) {
    return IsUsable(status, fields);
  };
  callbacks.on_word = [this] { return ReturnToHeld("the server goes on"); };
  callbacks.on_lost = [this](std::optional<AnswerFailure> failure) { OnHeldLost(failure); };
  m_avoided.insert(m_attempt.server);
  m_held_events = m_events;
  m_held = std::make_shared<HeldAttempt>(std::move(m_attempt),
                                         is_stream ? std::optional(m_events) : std::nullopt,
                                         weak_from_this(), std::move(callbacks));
  m_held->Attempt().connection->SetListener(m_held);
}

bool ForwardExchange::MayReturnToHeld() const {
  return m_held && !m_held->IsUseless();
}

bool ForwardExchange::ReturnToHeld(std::string_view reason) {
  if (m_attempt.connection && !m_attempt.may_have_arrived) {
    ForgetUnsent();
  }
  Release(m_attempt);
  const auto held = std::exchange(m_held, nullptr);
  m_parts.logger.Log(LogLevel::kInfo, "request_returned",
                     {{"request", m_facts.id},
                      {"server", held->Attempt().server},
                      {"from", m_attempt.server},
                      {"reason", std::string(reason)}});
  m_attempt = held->TakeAttempt();
  m_events = m_held_events;
  m_attempt.connection->SetListener(weak_from_this());
  ReserveForAttempt();
  m_failed_reports = 0;
  m_next_search_at = m_parts.clock.Now() + kSearchAgainAfter;
  m_keeps_waiting = true;
  m_move_at.reset();
  if (HasDrainingServer()) {
    ScheduleMove();
  }
  return PassOnArrived(held->TakeArrived());
}

/** An answer that is refused by its head is not read on: the request may be at another server. */
bool ForwardExchange::PassOnArrived(HeldAttempt::Arrived arrived) {
  const std::shared_ptr<ServerConnection> connection = m_attempt.connection;
  const auto waits = [&] { return !m_ended && m_attempt.connection == connection; };
  if (arrived.head) {
    OnServerAnswerHead(arrived.head->status, arrived.head->fields);
  }
  if (waits() && arrived.body.Size() > 0) {
    OnServerAnswerBody(arrived.body.Take());
  }
  return waits();
}

/** An attempt that was not sent has reached no server. */
void ForwardExchange::ForgetUnsent() {
  ++m_history.not_sent;
  --m_history.servers_reached;
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

void ForwardExchange::OnHeldRerouted(const LayerPath& path, const RerouteAnswer& answer) {
  m_held->OnRerouted(answer.result ? std::optional(path) : std::nullopt);
}

void ForwardExchange::OnHeldLost(std::optional<AnswerFailure> failure) {
  const auto held = std::exchange(m_held, nullptr);
  if (failure == AnswerFailure::kBroken) {
    NoteBrokenAnswer(held->Attempt());
  } else if (failure) {
    ForgetUnsent();
  }
}

}  // namespace zinnia
