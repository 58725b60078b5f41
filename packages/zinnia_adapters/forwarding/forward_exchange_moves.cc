#include <fmt/format.h>

#include <utility>

#include "zinnia_adapters/forwarding/forward_exchange.h"
#include "zinnia_decisions/forwarding/paths/move_chooser.h"
#include "zinnia_decisions/forwarding/streams/move_attempts.h"
#include "zinnia_decisions/forwarding/streams/move_counts.h"
#include "zinnia_decisions/forwarding/streams/move_order.h"
#include "zinnia_decisions/ports/metrics.h"

// Moves of streams of prioritized services in ForwardExchange.

namespace zinnia {

std::optional<MoveRank> ForwardExchange::RankOfMove() const {
  if (m_ended || !m_route || !m_attempt.connection || !IsPrioritized()) {
    return std::nullopt;
  }
  const Duration pause = m_parts.clock.Now() - m_attempt.last_progress;
  return MoveRank{IsPauseOnTime(pause, m_route->event_gap_objective), Class(), ExpectedRest()};
}

MovingStream ForwardExchange::DescribeMove(bool is_broken) const {
  MovingStream stream;
  stream.id = m_facts.id;
  stream.service = m_service;
  stream.size = ExpectedSize();
  stream.present = m_attempt.path;
  stream.refused = m_move_attempts.RefusedServers();
  stream.present_firsts = ServersWithRequest();
  stream.may_restart = is_broken && MayResend();
  // Unknown until the second event.
  if (!is_broken && m_event_intervals.MeanInterval() > Duration::zero()) {
    stream.expected_rest = ExpectedRest();
  }
  return stream;
}

void ForwardExchange::CountMove(MoveEvent event) const {
  m_parts.metrics.Count(fmt::format("moves_{}_class_{}", NameOf(event), Class()));
  m_parts.move_counts.Add(event, Class());
}

void ForwardExchange::Move(std::string_view reason, bool is_broken) {
  const auto view = m_parts.view();
  MovingStream stream = DescribeMove(is_broken);
  MoveChoice choice = m_parts.moves.Choose(*view, stream);
  const bool restarts = choice.recovery && !choice.recovery->keeps_first_server;
  if (restarts && ChargeRetry(SendOutcome::kUnknown) != RetryCharge::kCharged) {
    stream.may_restart = false;
    choice = m_parts.moves.Choose(*view, stream);
  }
  if (choice.kind == MoveChoice::Kind::kStay) {
    if (m_move_attempts.OnLeft()) {
      CountMove(MoveEvent::kLeft);
    }
    return;
  }
  if (choice.kind == MoveChoice::Kind::kNoRoom) {
    OnRerouteFailed(reason);
    return;
  }
  CountMove(MoveEvent::kTried);
  m_parts.moves.OnMoved(*view, stream, *choice.recovery);
  if (choice.recovery->keeps_first_server) {
    m_moves_off_broken_path = is_broken;
    ChangePath(choice.recovery->found, reason);
  } else {
    ResendBeside(choice.recovery->found, reason);
  }
}

bool ForwardExchange::MoveAgain(const LayerPath& refused, const RerouteAnswer& answer) {
  if (answer.result.error().kind != ErrorKind::kBackendRejected) {
    return false;
  }
  CountMove(MoveEvent::kRefused);
  const LayerPath parts = RefusedParts(m_attempt.path, refused, answer.refused_by);
  m_move_attempts.OnRefused(parts);
  if (!answer.refused_by) {
    m_parts.moves.OnUnnamedRefusal(parts);
  }
  const Duration pause = m_parts.clock.Now() - m_attempt.last_progress;
  if (!m_attempt.connection || !m_move_attempts.MayRetry(pause, m_route->event_gap_objective)) {
    return false;
  }
  CountMove(MoveEvent::kRetried);
  Move("the first server refused the new path", m_moves_off_broken_path);
  return true;
}

}  // namespace zinnia
