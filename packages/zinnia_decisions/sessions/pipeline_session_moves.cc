#include <algorithm>
#include <utility>

#include "zinnia_decisions/ports/snapshot_source.h"
#include "zinnia_decisions/sessions/attempt_numbers.h"
#include "zinnia_decisions/sessions/pipeline_session.h"

namespace zinnia {
namespace {

/** Limits the planned moves off leaving servers, as each consumes attempt numbers. */
constexpr std::uint32_t kMaxTransfers = 200;

}  // namespace

void PipelineSession::LeaveDrainingServers() {
  if (IsFinished() || m_route.hops.empty() || LeavingHops().empty()) {
    return;
  }
  // Deferred until the current token is complete, since only then all caches have equal length.
  m_leave_requested = true;
}

std::vector<std::size_t> PipelineSession::LeavingHops() const {
  const auto fleet = m_parts.snapshots.Current();
  std::vector<std::size_t> leaving;
  for (std::size_t hop = 0; hop < m_route.hops.size(); ++hop) {
    const auto view = fleet->servers.find(m_route.hops[hop].server);
    if (view != fleet->servers.end() && view->second.state == BackendServerState::kLeaving) {
      leaving.push_back(hop);
    }
  }
  return leaving;
}

void PipelineSession::MoveOffLeavingServers() {
  m_leave_requested = false;
  const Route route = RouteWithoutLeaving();
  if (route == m_route || m_transfers == kMaxTransfers) {
    m_records.Write("stay_on_leaving_servers", "no other server has these layers",
                    {{"route", Describe(m_route)}});
    StartPass();
    return;
  }
  m_records.Write("leave_servers", "servers of the route are leaving",
                  {{"from", Describe(m_route)}, {"to", Describe(route)}});
  TransferCaches(route);
}

Route PipelineSession::RouteWithoutLeaving() const {
  const std::vector<std::size_t> leaving = LeavingHops();
  RouteQuery query = MakeQuery();
  for (const std::size_t hop : leaving) {
    query.excluded.insert(m_route.hops[hop].server);
  }
  Route route = m_route;
  for (const std::size_t hop : leaving) {
    const bool still_there = hop < route.hops.size() && route.hops[hop] == m_route.hops[hop];
    const auto choice = m_routes.Replace(route, hop, query, RequiredVersion());
    if (still_there && choice) {
      route = choice->route;
    }
  }
  return route;
}

void PipelineSession::TransferCaches(const Route& route) {
  std::vector<CacheTransfers::Transfer> transfers;
  for (std::size_t hop = 0; hop < std::min(route.hops.size(), m_route.hops.size()); ++hop) {
    const Route::Hop& from = m_route.hops[hop];
    const Route::Hop& to = route.hops[hop];
    const auto adoption = m_relay.Caches().AdoptionAt(hop, m_answer.CachedPositions());
    if (from.layers == to.layers && from.server != to.server && adoption) {
      transfers.push_back({hop, from.server, to.server, adoption->attempt});
    }
  }
  if (transfers.empty()) {
    StartAttempt(route);
    return;
  }
  ++m_transfers;
  const AttemptNumber import_attempt = m_next_attempt++;
  m_cache_transfers =
      CacheTransfers::Start(m_parts, m_session, transfers, import_attempt,
                            [weak = weak_from_this(), route,
                             import_attempt](const std::vector<CacheTransfers::Outcome>& outcomes) {
                              if (const auto self = weak.lock()) {
                                self->HandleTransfers(route, import_attempt, outcomes);
                              }
                            });
}

void PipelineSession::HandleTransfers(const Route& route,
                                      AttemptNumber import_attempt,
                                      const std::vector<CacheTransfers::Outcome>& outcomes) {
  m_relay.Caches().SetRoute(route);
  for (const CacheTransfers::Outcome& outcome : outcomes) {
    m_relay.Caches().Set(outcome.transfer.hop, import_attempt, outcome.length);
    m_records.Write("move_cache", outcome.failure.empty() ? "imported" : outcome.failure,
                    {{"from", outcome.transfer.from},
                     {"to", outcome.transfer.to},
                     {"length", std::to_string(outcome.length)}});
  }
  const auto keep_alive = std::exchange(m_cache_transfers, nullptr);
  StartAttempt(route);
}

}  // namespace zinnia
