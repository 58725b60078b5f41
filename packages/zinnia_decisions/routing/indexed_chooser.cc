#include "zinnia_decisions/routing/indexed_chooser.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <limits>
#include <numeric>
#include <utility>

namespace zinnia {
namespace {

constexpr std::chrono::milliseconds kRetryAfterNoPipeline{2'000};

Error NoPipeline(const ModelName& model, std::string_view what) {
  Error error =
      MakeError(ErrorKind::kNoPipeline, fmt::format("model \"{}\" has no {}", model, what));
  error.retry_after = kRetryAfterNoPipeline;
  return error;
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

Result<RouteChoice> IndexedChooser::Choose(const FleetSnapshot& fleet, const RouteQuery& query) {
  RefreshIndex(fleet);
  if (!m_index->KnowsModel(query.model)) {
    return MakeError(ErrorKind::kUnknownModel, fmt::format("no model \"{}\"", query.model));
  }
  const auto pipelines = m_index->PipelinesOf(query.model);
  std::optional<Candidate> best;
  std::size_t usable_pipelines = 0;
  for (const std::size_t number : PipelineOrder(query, pipelines.size())) {
    auto candidate = TryPipeline(pipelines[number], query);
    usable_pipelines += candidate ? 1 : 0;
    if (candidate && (!best || candidate->cost < best->cost)) {
      best = std::move(candidate);
    }
    if (usable_pipelines == MaxComparedPipelines()) {
      break;
    }
  }
  if (!best) {
    return NoPipeline(query.model, "pipeline with a usable backend server at every stage");
  }
  return MakeChoice(MakeRoute(*best, query), query);
}

Result<RouteChoice> IndexedChooser::Replace(const FleetSnapshot& fleet,
                                            const Route& route,
                                            std::size_t hop,
                                            const RouteQuery& query) {
  assert(hop < route.hops.size());
  RefreshIndex(fleet);
  RouteQuery replacement_query = query;
  replacement_query.excluded.insert(route.hops[hop].server);
  const IndexedStage holders =
      m_index->ServersHolding(route.model, route.version, route.hops[hop].layers);
  const auto selection = TryStage(holders, {hop, route.hops.size()}, replacement_query);
  if (!selection) {
    return NoPipeline(route.model, "other backend server for the lost stage");
  }
  Route replaced = route;
  replaced.hops[hop].server = m_index->Servers()[selection->server].name;
  return MakeChoice(std::move(replaced), query);
}

void IndexedChooser::OnSent(const Route& route, const RouteQuery& query) {
  for (const Route::Hop& hop : route.hops) {
    m_local_loads.Of(hop.server).OnSent(m_clock.Now());
  }
  OnRouteUsed(route, query);
}

void IndexedChooser::OnFinished(const Route& route, const RouteQuery&) {
  for (const Route::Hop& hop : route.hops) {
    m_local_loads.Of(hop.server).OnFinished(m_clock.Now());
  }
}

std::vector<std::size_t> IndexedChooser::PipelineOrder(const RouteQuery&, std::size_t count) {
  std::vector<std::size_t> all(count);
  std::iota(all.begin(), all.end(), 0);
  return all;
}

std::size_t IndexedChooser::MaxComparedPipelines() const {
  return std::numeric_limits<std::size_t>::max();
}

void IndexedChooser::OnRouteUsed(const Route&, const RouteQuery&) {}

double IndexedChooser::CorrectedSessions(const IndexedServer& server) {
  const double corrected =
      server.reported_sessions + server.local_load->ChangeSince(server.reported_at);
  return std::max<double>(corrected, server.local_load->InFlight());
}

void IndexedChooser::RefreshIndex(const FleetSnapshot& fleet) {
  if (m_index != nullptr && fleet.sequence != 0 && fleet.sequence == m_indexed_sequence) {
    return;
  }
  m_index = std::make_unique<FleetIndex>(fleet, m_local_loads);
  m_indexed_sequence = fleet.sequence;
  m_local_loads.RemoveIdle(
      [&](const BackendServerName& server) { return m_index->Find(server) != nullptr; });
}

std::optional<IndexedChooser::Candidate> IndexedChooser::TryPipeline(
    const IndexedPipeline& pipeline,
    const RouteQuery& query) {
  Candidate candidate{.pipeline = &pipeline};
  for (std::size_t hop = 0; hop < pipeline.stages.size(); ++hop) {
    const auto selection = TryStage(pipeline.stages[hop], {hop, pipeline.stages.size()}, query);
    if (!selection) {
      return std::nullopt;
    }
    candidate.servers.push_back(selection->server);
    candidate.cost += selection->cost;
  }
  return candidate;
}

std::optional<StageSelection> IndexedChooser::TryStage(const IndexedStage& stage,
                                                       HopPosition position,
                                                       const RouteQuery& query) {
  FilterExcluded(stage.live, query);
  if (m_allowed.empty()) {
    FilterExcluded(stage.suspect, query);
  }
  if (m_allowed.empty()) {
    return std::nullopt;
  }
  return SelectServer({*m_index, query, stage.layers, position, m_allowed});
}

void IndexedChooser::FilterExcluded(const std::vector<std::uint32_t>& servers,
                                    const RouteQuery& query) {
  m_allowed.clear();
  for (const std::uint32_t server : servers) {
    if (query.excluded.empty() || !query.excluded.contains(m_index->Servers()[server].name)) {
      m_allowed.push_back(server);
    }
  }
}

Route IndexedChooser::MakeRoute(const Candidate& candidate, const RouteQuery& query) const {
  const IndexedPipeline& pipeline = *candidate.pipeline;
  Route route{.pipeline = pipeline.name, .model = query.model, .version = pipeline.version};
  for (std::size_t hop = 0; hop < candidate.servers.size(); ++hop) {
    route.hops.push_back(
        {pipeline.stages[hop].layers, m_index->Servers()[candidate.servers[hop]].name});
  }
  return route;
}

RouteChoice IndexedChooser::MakeChoice(Route route, const RouteQuery& query) const {
  double first_token = 0.0;
  double between_tokens = 0.0;
  for (std::size_t hop = 0; hop < route.hops.size(); ++hop) {
    const IndexedServer* server = m_index->Find(route.hops[hop].server);
    if (server == nullptr) {
      continue;
    }
    const auto prediction = PredictHop(*m_index, *server, {hop, route.hops.size()}, query);
    const double sessions = CorrectedSessions(*server) + 1.0;
    const double per_token = prediction.base_per_token + sessions * prediction.load_per_session;
    first_token += prediction.prefill + per_token;
    between_tokens += per_token;
  }
  return {.route = std::move(route),
          .expected_time_to_first_token = FromSeconds(first_token),
          .expected_inter_token_latency = FromSeconds(between_tokens),
          .reason = std::string(Reason())};
}

}  // namespace zinnia
