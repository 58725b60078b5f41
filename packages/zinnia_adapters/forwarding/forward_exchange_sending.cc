#include <utility>

#include "zinnia_adapters/forwarding/forward_exchange.h"
#include "zinnia_adapters/forwarding/log_text.h"
#include "zinnia_adapters/forwarding/prompt_part_watch.h"
#include "zinnia_adapters/forwarding/reachability_watch.h"
#include "zinnia_adapters/forwarding/server_connection.h"
#include "zinnia_adapters/forwarding/server_connection_pool.h"
#include "zinnia_adapters/services/header_filter.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/limits/server_limits.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/ports/metrics.h"

// Sending a request to its server in ForwardExchange, unless its caller has left.

namespace zinnia {
namespace {

using std::chrono::milliseconds;

/** Connect timeout; healthy servers accept within a few milliseconds. */
constexpr Duration kConnectLimit = milliseconds(250);

/** Connecting for longer is logged: the choice of the server is as old by then. */
constexpr Duration kSlowConnect = milliseconds(50);

/** Maximum idle time of a reused connection. It is shorter for non-repeatable requests, which would
    be lost if the server had silently closed the connection. */
constexpr Duration kMaxIdleForRepeatable = std::chrono::seconds(8);
constexpr Duration kMaxIdleForNonRepeatable = milliseconds(800);

}  // namespace

Duration ForwardExchange::TimeLeft() const {
  return m_deadline - m_parts.clock.Now();
}

bool ForwardExchange::EndIfCallerLeft() {
  if (m_answer.IsCallerThere()) {
    return false;
  }
  m_parts.metrics.Count("requests_dropped_before_sending");
  m_parts.logger.Log(LogLevel::kInfo, "request_dropped",
                     {{"request", m_facts.id},
                      {"reason", "caller_left"},
                      {"servers_reached", std::to_string(m_history.servers_reached)},
                      {"age_ms", Milliseconds(m_parts.clock.Now() - m_started_at)}});
  m_answer.CutOff();
  End("caller_gone");
  return true;
}

void ForwardExchange::Send() {
  if (EndIfCallerLeft()) {
    return;
  }
  ServerConnection::Request request = m_request;
  RemoveHopByHopFields(request);
  ForwardingMarks marks;
  marks.deadline_left = std::chrono::duration_cast<milliseconds>(TimeLeft());
  marks.server = m_attempt.server;
  marks.organisation = m_organisation;
  marks.path = m_attempt.path;
  if (IsPrioritized()) {
    marks.priority = static_cast<std::uint32_t>(Class());
  }
  marks.last_event_id = m_events.LastEventId() ? m_events.LastEventId() : m_facts.last_event_id;
  if (m_attempt.is_at_peer) {
    m_parts.codec.MarkRequestForPeer(request, marks);
  } else {
    m_parts.codec.MarkRequest(request, marks);
  }
  request.keep_alive(true);
  request.prepare_payload();

  m_failed_reports = 0;
  m_failed_reroutes = 0;
  m_attempt.path_change = ++m_path_changes;
  m_next_search_at = {};
  m_keeps_waiting = false;
  m_events.DropPartialEvent();
  m_attempt.last_progress = m_parts.clock.Now();
  m_attempt.sent_at = m_attempt.last_progress;
  ++m_history.servers_reached;
  if (!m_attempt.is_at_peer) {
    LogServersAtLimit();
    m_parts.limits.OnSent(m_attempt.server);
    m_parts.prompt_parts.OnSent(m_facts.prompt_parts);
  }
  m_attempt.connection = m_parts.connections.Take(
      m_attempt.server, m_attempt.address,
      m_route->MayRepeat() ? kMaxIdleForRepeatable : kMaxIdleForNonRepeatable);
  m_attempt.may_have_arrived = m_attempt.connection->IsReusable();
  m_parts.logger.Log(LogLevel::kInfo, "request_sent",
                     {{"request", m_facts.id},
                      {"fingerprint", m_fingerprint.ToHex()},
                      {"route", m_route->name},
                      {"server", m_attempt.server},
                      {"path", DescribePath(m_attempt.path)},
                      {"send", std::to_string(m_history.servers_reached)},
                      {"deadline_left_ms", Milliseconds(TimeLeft())},
                      {"age_ms", Milliseconds(m_parts.clock.Now() - m_started_at)},
                      {"revision", std::to_string(m_parts.view()->revision.number)},
                      {"kept_connection", m_attempt.may_have_arrived ? "yes" : "no"}});
  m_attempt.connection->Send(std::move(request), weak_from_this(), kConnectLimit);
}

bool ForwardExchange::OnServerConnected() {
  if (EndIfCallerLeft()) {
    return false;
  }
  m_attempt.may_have_arrived = true;
  if (m_attempt.is_at_peer) {
    return true;
  }
  m_parts.reachability.OnConnected();
  const Duration connecting = m_parts.clock.Now() - m_attempt.sent_at;
  if (connecting > kSlowConnect) {
    m_parts.logger.Log(LogLevel::kInfo, "server_connected_late",
                       {{"request", m_facts.id},
                        {"server", m_attempt.server},
                        {"connect_ms", Milliseconds(connecting)},
                        {"revision", std::to_string(m_parts.view()->revision.number)}});
  }
  return ChosenServersTakeRequests();
}

}  // namespace zinnia
