#include <fmt/format.h>

#include <boost/beast/http/field.hpp>
#include <utility>

#include "zinnia_adapters/forwarding/forward_exchange.h"
#include "zinnia_adapters/forwarding/forward_outcomes.h"
#include "zinnia_adapters/forwarding/reachability_watch.h"
#include "zinnia_adapters/forwarding/server_connection.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/crashes/request_quarantine.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/reachability/peer_chooser.h"
#include "zinnia_decisions/forwarding/streams/silence_policy.h"
#include "zinnia_decisions/ports/metrics.h"

// Requests that a peer forwards in ForwardExchange, since this instance reaches no server.

namespace zinnia {
namespace {

/** Header field of a refusal by a peer that reaches no server either. */
constexpr std::string_view kCutOffField = "Zinnia-Cut-Off";

/** Peers that are asked to forward one request. Each refusal takes some milliseconds. */
constexpr int kMaxPeersAsked = 8;

/** Streams with events more recent than this are not moved when no server is reached any more. */
constexpr Duration kMinSilenceToMove = std::chrono::milliseconds(100);

/** Minimum time before the deadline to ask another peer. */
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(30);

}  // namespace

bool ForwardExchange::NeedsPeer() const {
  const auto view = m_parts.view();
  return m_origin == RequestOrigin::kCaller && m_parts.reachability.IsCutOff() &&
         view->instances != nullptr && m_parts.peers.HasPeers(*view->instances);
}

std::optional<ForwardExchange::Candidate> ForwardExchange::FindPeer() const {
  const auto peer = m_peers_asked < kMaxPeersAsked
                        ? m_parts.peers.Choose(*m_parts.view()->instances, m_avoided)
                        : std::nullopt;
  if (!peer) {
    return std::nullopt;
  }
  return Candidate{peer->name, {peer->peer_address.ip, peer->requests_port}, {}, 0.0, true};
}

bool ForwardExchange::IsRefusedAsCutOff() const {
  return m_origin == RequestOrigin::kPeer && m_parts.reachability.IsCutOff();
}

void ForwardExchange::MarkAsCutOff(CallerResponse& response) const {
  if (IsRefusedAsCutOff()) {
    response.set(kCutOffField, "1");
  }
}

/** Everything but a refusal by a peer that reaches no server is the answer: the peer has chosen
    servers and sent again as often as this instance would have. */
void ForwardExchange::OnPeerAnswer() {
  if (!m_attempt.answer_facts.is_signed && IsPromise(m_attempt.status) &&
      m_attempt.fields.count(kCutOffField) > 0) {
    OnPeerFailed("the peer reaches no server either");
    return;
  }
  const bool is_false_promise = m_history.may_have_run && IsPromise(m_attempt.status);
  if (m_answer.HasBegun() || is_false_promise || (m_held && !IsSuccess(m_attempt.status))) {
    OnNotContinued();
    return;
  }
  if (m_attempt.answer_facts.is_signed && IsSuccess(m_attempt.status)) {
    m_parts.quarantine.OnEndedWell(m_fingerprint);
  }
  PassOnWholeAnswer();
}

/** A whole answer cannot follow the beginning of a stream, a failure is no reason to leave a server
    that may go on, and "not run" is the peer's word on its own servers only. */
void ForwardExchange::OnNotContinued() {
  const std::string reason = fmt::format("status {} of a peer", m_attempt.status);
  m_avoided.insert(m_attempt.server);
  if (!m_attempt.answer_facts.is_signed && IsPromise(m_attempt.status)) {
    ForgetUnsent();  // No server has received it from the peer.
    SendAgainOrGiveUp(SendOutcome::kNotSent, reason);
  } else {
    SendAgainOrGiveUp(SendOutcome::kUnknown, reason);
  }
}

/** No server has received the request from the peer. */
void ForwardExchange::OnPeerFailed(std::string_view reason) {
  m_parts.peers.Exclude(m_attempt.server);
  m_avoided.insert(m_attempt.server);
  --m_history.servers_reached;
  m_parts.logger.Log(
      LogLevel::kInfo, "peer_not_used",
      {{"request", m_facts.id}, {"peer", m_attempt.server}, {"reason", std::string(reason)}});
  if (TimeLeft() > kMinTimeLeft && ChooseServer()) {
    Send();
  } else if (MayReturnToHeld()) {
    ReturnToHeld(reason);
  } else {
    GiveUp(m_history.may_have_run ? NextStep::kFail : NextStep::kRefuse,
           "neither this instance nor its peers reach a server");
  }
}

void ForwardExchange::CheckPeerSilence() {
  const bool is_stream = m_route->repeatability == Repeatability::kStream;
  const Duration silent = m_parts.clock.Now() - m_attempt.last_progress;
  if (is_stream && silent >= SilencePolicy(*m_route).AbandonAfter(m_event_intervals.HasBegun())) {
    TryBesideSilentServer("the peer is silent");
  }
}

void ForwardExchange::OnCutOff() {
  const bool is_silent = m_parts.clock.Now() - m_attempt.last_progress >= kMinSilenceToMove;
  if (!m_ended && m_attempt.connection && !m_attempt.is_at_peer && m_route->MayRepeat() &&
      is_silent) {
    TryBesideSilentServer("this instance reaches no server");
  }
}

}  // namespace zinnia
