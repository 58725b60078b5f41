#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "zinnia_adapters/forwarding/exclusion_times.h"
#include "zinnia_adapters/forwarding/forward_exchange.h"
#include "zinnia_adapters/forwarding/held_attempt.h"
#include "zinnia_adapters/forwarding/log_text.h"
#include "zinnia_adapters/forwarding/server_connection.h"
#include "zinnia_adapters/forwarding/stall_inquiry.h"
#include "zinnia_base/errors/error.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/admission/capacity_queue.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/inter_domain_link_meter.h"
#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"
#include "zinnia_decisions/forwarding/observed_state/server_health.h"
#include "zinnia_decisions/forwarding/paths/recovery_chooser.h"
#include "zinnia_decisions/forwarding/streams/departure_schedule.h"
#include "zinnia_decisions/forwarding/streams/silence_policy.h"

// Supervision of running requests in ForwardExchange: silent streams, stalled and draining servers.

namespace zinnia {
namespace {

using std::chrono::milliseconds;

/** Minimum silence of this stream before a stall reported by others is acted on. */
constexpr Duration kMinConfirmingSilence = milliseconds(45);

/** Delay between report requests for a silent stream. It backs off exponentially after the first
   two, to limit calls to engines that are only busy. */
constexpr Duration kStallQueryInterval = milliseconds(120);
constexpr int kQueriesWithoutBackoff = 2;
constexpr int kMostDoublings = 3;

/** How long a due move waits for the next event of the stream. */
constexpr Duration kWaitForEvent = milliseconds(50);

/** Retry delay after a refused move. */
constexpr Duration kMoveRetryDelay = milliseconds(200);

/** Failed report requests after which a silent first server is abandoned. */
constexpr int kMaxFailedReports = 2;

/** Failed reroutes after which the first server is abandoned. */
constexpr int kMaxFailedReroutes = 2;

}  // namespace

void QuerySlowdownFactor(const ForwardingParts& parts, const PathPart& server) {
  parts.stalls.Ask(server, [&parts, name = server.server](const Result<EngineReport>& report) {
    if (!report) {
      return;  // Requests waiting for this server detect and log its silence.
    }
    if (report->pace > parts.health.SlowdownFactor(name)) {
      parts.logger.Log(LogLevel::kInfo, "server_slow",
                       {{"server", name}, {"pace", fmt::format("{:.1f}", report->pace)}});
    }
    parts.health.OnSlowdownReport({name, report->pace, {}});
  });
}

void ForwardExchange::Tick() {
  if (m_ended) {
    return;
  }
  if (m_awaits_configuration) {
    AwaitConfiguration();
    return;
  }
  if (!m_route) {
    return;
  }
  if (m_parts.clock.Now() >= m_deadline) {
    OnDeadline();
    return;
  }
  if (m_capacity_ticket != CapacityQueue::kNoTicket && !m_queued_by_class &&
      m_parts.capacity_queue.IsOverdue(m_capacity_ticket)) {
    RefuseForWantOfRoom();
    return;
  }
  if (m_attempt.is_at_peer && m_attempt.connection) {
    CheckPeerSilence();
    return;
  }
  if (m_attempt.is_said_to_have_ended && m_attempt.connection && !HasEventsFlowing()) {
    AbandonServer("the server has started again");
    return;
  }
  if (m_keeps_waiting && m_attempt.connection) {
    TryBesideSilentServer("the server is still silent");
  }
  if (m_attempt.path.empty() || !m_attempt.connection) {
    return;
  }
  NoteProgressOfSuspect();
  CheckSilence();
  if (m_move_at && m_parts.clock.Now() >= *m_move_at + kWaitForEvent) {
    MoveIfDue();
  }
}

void ForwardExchange::CheckSilence() {
  const Duration silent = m_parts.clock.Now() - m_attempt.last_progress;
  const Duration limit = SilencePolicy(*m_route).ProbeAfter(m_event_intervals.HasBegun());
  if (m_attempt.last_progress > m_last_stall_query_at) {
    m_stall_queries = 0;
  }
  const int doublings = std::clamp(m_stall_queries - kQueriesWithoutBackoff, 0, kMostDoublings);
  const bool queried_recently =
      m_parts.clock.Now() - m_last_stall_query_at < kStallQueryInterval * (1 << doublings);
  if (silent >= limit && !m_stall_query_in_flight && !m_attempt.rerouting && !queried_recently) {
    QueryStalls();
  }
}

void ForwardExchange::QueryStalls() {
  m_stall_query_in_flight = true;
  m_last_stall_query_at = m_parts.clock.Now();
  ++m_stall_queries;
  m_parts.stalls.Ask(m_attempt.path.front(),
                     [weak = weak_from_this()](const Result<EngineReport>& report) {
                       const auto self = weak.lock();
                       if (self && !self->m_ended) {
                         self->m_stall_query_in_flight = false;
                         self->OnReport(report);
                       }
                     });
}

void ForwardExchange::OnReport(const Result<EngineReport>& report) {
  const Duration silent = m_parts.clock.Now() - m_attempt.last_progress;
  const SilencePolicy policy(*m_route);
  if (silent < policy.ProbeAfter(m_event_intervals.HasBegun()) || !m_attempt.connection) {
    return;
  }
  if (!report) {
    m_parts.logger.Log(LogLevel::kWarning, "report_failed",
                       {{"request", m_facts.id},
                        {"server", m_attempt.server},
                        {"reason", zinnia::Describe(report.error())}});
    // A single call may fail for lack of connections, so the stream must be silent too.
    const bool is_long = silent >= policy.AbandonAfter(m_event_intervals.HasBegun());
    if (++m_failed_reports >= kMaxFailedReports && is_long) {
      m_parts.health.MarkSuspect(m_attempt.server, kUnreachableExclusion);
      TryBesideSilentServer("the first server is silent");
    }
    return;
  }
  m_failed_reports = 0;
  // Includes stalled requests other than this one.
  std::set<BackendServerName> stalled;
  const auto view = m_parts.view();
  for (const StalledRequest& request : report->stalled) {
    for (const auto& [name, server] : view->servers) {
      if (server.address == request.server) {
        stalled.insert(name);
      }
    }
  }
  if (stalled.empty()) {
    return;
  }
  for (const BackendServerName& server : stalled) {
    m_parts.health.MarkSuspect(server, kStalledExclusion);
  }
  m_parts.report_stalled({stalled.begin(), stalled.end()});
}

std::optional<StreamProgress> ForwardExchange::Progress() const {
  if (m_ended || !m_attempt.connection || !m_event_intervals.HasBegun() || m_attempt.rerouting ||
      m_attempt.path.empty()) {
    return std::nullopt;
  }
  return StreamProgress{&m_attempt.path, m_attempt.last_progress, m_event_intervals.MeanInterval()};
}

void ForwardExchange::OnServersStalled(const std::vector<BackendServerName>& servers) {
  const auto is_stalled = [&](const PathPart& part) {
    return std::find(servers.begin(), servers.end(), part.server) != servers.end();
  };
  // A recent event shows that the report is wrong or refers to an earlier path.
  const bool flows = m_parts.clock.Now() - m_attempt.last_progress < kMinConfirmingSilence;
  if (m_ended || !m_attempt.connection || flows ||
      std::none_of(m_attempt.path.begin(), m_attempt.path.end(), is_stalled)) {
    return;
  }
  if (is_stalled(m_attempt.path.front())) {
    // Applies during a reroute too, since a stalled server will not complete it.
    TryBesideSilentServer("the first server is silent");
    return;
  }
  if (!m_attempt.rerouting) {
    Reroute("a server on the path is stalled", true);
  }
}

/** Queries the slowdown factor of each server on the path after a long event gap. */
void ForwardExchange::QuerySlowdownFactors() {
  for (const PathPart& part : m_attempt.path) {
    if (m_parts.health.TryBeginSlowdownQuery(part.server)) {
      QuerySlowdownFactor(m_parts, part);
    }
  }
}

/** Queries the layers of a server that may differ from its entry, which is outdated while the store
    is unavailable. */
void ForwardExchange::QueryLayers(const PathPart& accused) {
  if (accused.layers.Count() == 0) {
    return;
  }
  m_parts.stalls.Ask(accused, [&parts = m_parts, accused](const Result<EngineReport>& report) {
    const auto view = parts.view();
    const auto server = view->servers.find(accused.server);
    if (report && report->layers && server != view->servers.end() &&
        server->second.layers != *report->layers) {
      parts.report_server_state({accused.server, *report->layers, false});
    }
  });
}

/** Checks whether a server that refused is dead or draining, which its entry may not show for
    seconds, or for as long as the store is unavailable. */
void ForwardExchange::ConfirmRefusal(const PathPart& accused) {
  const auto view = m_parts.view();
  const auto service = view->rules->services.find(m_service);
  const auto entry = view->servers.find(accused.server);
  if (service == view->rules->services.end() || !service->second.engine ||
      entry == view->servers.end()) {
    return;
  }
  const bool is_full =
      IsNearlyFull(*service->second.engine, entry->second, m_parts.loads.UseOf(accused.server));
  if (is_full && accused.server == m_attempt.server) {
    return;
  }
  m_parts.stalls.Confirm(
      accused, is_full ? std::string() : service->second.health_path,
      [&parts = m_parts](const BackendServerName& dead) {
        parts.health.MarkSuspect(dead, kStalledExclusion);
        parts.report_stalled({dead});
      },
      [&parts = m_parts](const BackendServerName& leaving) {
        const auto now = parts.view();
        const auto server = now->servers.find(leaving);
        if (server != now->servers.end() && !server->second.draining) {
          parts.report_server_state({leaving, {}, true});
        }
      });
}

void ForwardExchange::OnViewChanged() {
  if (m_awaits_configuration && !m_ended) {
    AwaitConfiguration();
    return;
  }
  if (m_ended || !m_attempt.connection) {
    return;
  }
  const auto view = m_parts.view();
  ReleaseHeldIfEnded(*view);
  if (view->ended_incarnations.contains(m_attempt.server)) {
    OnServerRestarted();
    return;
  }
  if (!HasDrainingServer()) {
    m_move_at.reset();
  } else if (!m_move_at) {
    ScheduleMove();
  }
}

/** A stream whose events still arrive is not cut off: the news may be older than its connection. */
void ForwardExchange::OnServerRestarted() {
  if (HasEventsFlowing()) {
    m_attempt.is_said_to_have_ended = true;
  } else {
    AbandonServer("the server has started again");
  }
}

bool ForwardExchange::HasEventsFlowing() const {
  const Duration silence = m_parts.clock.Now() - m_attempt.last_progress;
  return m_attempt.path_confirmed && silence < SilencePolicy(*m_route).ProbeAfter(true);
}

/** Ignores the first server, which a running stream cannot leave without being resent. */
bool ForwardExchange::HasDrainingServer() const {
  const auto view = m_parts.view();
  return m_attempt.path.size() > 1 &&
         std::any_of(m_attempt.path.begin() + 1, m_attempt.path.end(), [&](const PathPart& part) {
           const auto server = view->servers.find(part.server);
           return server == view->servers.end() || server->second.draining;
         });
}

void ForwardExchange::ScheduleMove() {
  m_move_at = m_parts.departures.MoveAt(m_parts.clock.Now(), ExpectedRest());
}

Duration ForwardExchange::ExpectedRest() const {
  return m_event_intervals.ExpectedRemaining(ExpectedSize().answer_tokens / TokensPerEvent());
}

/** Best called right after an event, to leave the whole allowed event gap for the move. */
void ForwardExchange::MoveIfDue() {
  const TimePoint now = m_parts.clock.Now();
  if (m_ended || !m_attempt.connection || !m_move_at || m_attempt.rerouting || now < *m_move_at) {
    return;
  }
  if (!HasDrainingServer()) {
    m_move_at.reset();
    return;
  }
  m_move_at = now + kMoveRetryDelay;
  Reroute("a server on the path is leaving", false);
}

void ForwardExchange::Reroute(std::string_view reason, bool is_broken) {
  if (IsPrioritized()) {
    Move(reason, is_broken);
    return;
  }
  const auto view = m_parts.view();
  auto recovery = m_parts.recovery.Choose(*view, m_service, ExpectedSize(), m_attempt.path, {},
                                          is_broken && MayResend());
  if (recovery && !recovery->keeps_first_server &&
      HasRequest(recovery->found.path.front().server)) {
    recovery =
        m_parts.recovery.Choose(*view, m_service, ExpectedSize(), {}, ServersWithRequest(), true);
  }
  if (recovery && recovery->keeps_first_server) {
    ChangePath(recovery->found, reason);
    return;
  }
  if (recovery && ChargeRetry(SendOutcome::kUnknown) == RetryCharge::kCharged) {
    ResendBeside(recovery->found, reason);
    return;
  }
  const auto found = m_parts.paths.Find(*view, m_service, ExpectedSize(),
                                        m_parts.own_failure_domain, {}, {m_attempt.path.front()});
  if (!found) {
    OnRerouteFailed(reason);
    return;
  }
  ChangePath(*found, reason);
}

/** Those at which the request is now. */
std::set<BackendServerName> ForwardExchange::ServersWithRequest() const {
  std::set<BackendServerName> servers = {m_attempt.server};
  if (m_held) {
    servers.insert(m_held->Attempt().server);
  }
  return servers;
}

bool ForwardExchange::HasRequest(const BackendServerName& server) const {
  return ServersWithRequest().contains(server);
}

bool ForwardExchange::MayResend() const {
  SendHistory history = m_history;
  history.time_left = TimeLeft() > Duration::zero();
  history.has_alternative = true;
  return m_event_intervals.HasBegun() && !MustNotBeSentAgain() &&
         DecideNextStep(*m_route, SendOutcome::kUnknown, history) == NextStep::kSendAgain;
}

/** Resends the stream over another path, to continue after its last complete event. */
void ForwardExchange::ResendBeside(const FoundPath& found, std::string_view reason) {
  LogMove("request_started_again", found.path, reason);
  m_history.may_have_run = true;
  HoldAttempt();
  Take(AsCandidate(found));
  Send();
}

void ForwardExchange::LogMove(std::string_view event,
                              const LayerPath& to,
                              std::string_view reason) const {
  m_parts.logger.Log(LogLevel::kInfo, event,
                     {{"request", m_facts.id},
                      {"reason", std::string(reason)},
                      {"from", DescribePath(m_attempt.path)},
                      {"to", DescribePath(to)},
                      {"silent_ms", Milliseconds(m_parts.clock.Now() - m_attempt.last_progress)}});
}

void ForwardExchange::ChangePath(const FoundPath& found, std::string_view reason) {
  LogMove("request_rerouted", found.path, reason);
  m_parts.link_meter.Add(found.link_ms);
  m_attempt.rerouting = true;
  const std::uint64_t change = ++m_path_changes;
  m_attempt.path_change = change;
  m_parts.engine_calls.Reroute(
      m_facts.id, found.path,
      [weak = weak_from_this(), path = found.path, change](const RerouteAnswer& answer) {
        const auto self = weak.lock();
        if (!self || self->m_ended) {
          return;
        }
        if (self->m_attempt.path_change == change) {
          self->OnRerouted(path, answer);
        } else if (self->m_held && self->m_held->Attempt().path_change == change) {
          self->OnHeldRerouted(path, answer);
        }
      });
}

/** Abandons the first server once several reroutes have failed and the stream has been silent too
    long. */
void ForwardExchange::OnRerouteFailed(std::string_view reason) {
  if (m_failed_reroutes++ == 0) {
    m_parts.logger.Log(LogLevel::kInfo, "request_not_rerouted",
                       {{"request", m_facts.id},
                        {"reason", std::string(reason)},
                        {"path", DescribePath(m_attempt.path)}});
  }
  const Duration silent = m_parts.clock.Now() - m_attempt.last_progress;
  if (m_attempt.connection && m_failed_reroutes >= kMaxFailedReroutes &&
      silent >= SilencePolicy(*m_route).AbandonAfter(m_event_intervals.HasBegun())) {
    TryBesideSilentServer("the path could not be changed");
  }
}

void ForwardExchange::OnRerouted(const LayerPath& path, const RerouteAnswer& answer) {
  m_attempt.rerouting = false;
  if (answer.result) {
    m_attempt.path = path;
    m_attempt.path_confirmed = false;
    Reserve(path);
    m_attempt.last_progress = m_parts.clock.Now();
    return;
  }
  ExcludeRefusingServer(path, answer);
  m_parts.logger.Log(
      LogLevel::kInfo, "reroute_failed",
      {{"request", m_facts.id}, {"reason", zinnia::Describe(answer.result.error())}});
  if (IsPrioritized() && MoveAgain(path, answer)) {
    return;
  }
  OnRerouteFailed("the first server refused the new path");
}

void ForwardExchange::ExcludeRefusingServer(const LayerPath& path, const RerouteAnswer& answer) {
  for (const PathPart& part : path) {
    if (answer.refused_by && part.address == *answer.refused_by) {
      m_parts.health.Exclude(part.server, kFullExclusion);
    }
  }
}

/** Abandons the current send; its outcome on the server is unknown. */
void ForwardExchange::AbandonServer(std::string_view reason) {
  Release(m_attempt);
  OnSendEnded(SendOutcome::kUnknown, reason);
}

}  // namespace zinnia
