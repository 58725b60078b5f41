#include "zinnia_decisions/routing/completion_chooser.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

#include "zinnia_base/hashing/fingerprint.h"

namespace zinnia {
namespace {

/** Weighted rendezvous hashing: a prefix prefers the server with the highest rank, and each server
    is preferred by a share of prefixes in proportion to its weight. */
double RendezvousRank(std::uint64_t prefix, std::uint64_t server, double weight) {
  const std::array<std::uint64_t, 2> key = {prefix, server};
  const std::uint64_t hash = Hash64({reinterpret_cast<const char*>(key.data()), sizeof(key)});
  const double uniform =
      (static_cast<double>(hash >> 11U) + 0.5) / static_cast<double>(1ULL << 53U);
  return -weight / std::log(uniform);
}

}  // namespace

CompletionChooser::CompletionChooser(const Clock& clock,
                                     RandomSource random,
                                     CompletionChooserSettings settings)
    : IndexedChooser(clock),
      m_random(random),
      m_settings(settings),
      m_prefix_history(settings.remembered_prefixes) {}

std::vector<std::size_t> CompletionChooser::PipelineOrder(const RouteQuery& query,
                                                          std::size_t count) {
  auto all = IndexedChooser::PipelineOrder(query, count);
  for (std::size_t drawn = 0; drawn < std::min(m_settings.compared_pipelines, count); ++drawn) {
    std::swap(all[drawn], all[drawn + RandomBelow(m_random, count - drawn)]);
  }
  return all;
}

StageSelection CompletionChooser::SelectServer(const StageContext& context) {
  SampleCandidates(context);
  const std::uint64_t prefix = context.query.prefix_hash;
  const std::uint32_t preferred = prefix == 0 ? 0 : PreferredServer(context);
  if (prefix != 0) {
    m_sampled.push_back(preferred);
  }
  StageSelection best{.cost = std::numeric_limits<double>::infinity()};
  for (const std::uint32_t candidate : m_sampled) {
    const std::uint64_t name_hash = context.index.Servers()[candidate].name_hash;
    const bool cached =
        prefix != 0 && (candidate == preferred || m_prefix_history.WasSentTo(prefix, name_hash));
    const double noise = 1.0 + m_settings.noise * RandomUnit(m_random);
    const double cost = CostOf(context, candidate, cached) * noise;
    if (cost < best.cost) {
      best = {candidate, cost};
    }
  }
  return best;
}

void CompletionChooser::OnRouteUsed(const Route& route, const RouteQuery& query) {
  if (query.prefix_hash == 0) {
    return;
  }
  for (const Route::Hop& hop : route.hops) {
    m_prefix_history.Record(query.prefix_hash, Hash64(hop.server));
  }
}

void CompletionChooser::SampleCandidates(const StageContext& context) {
  m_sampled.assign(context.candidates.begin(), context.candidates.end());
  if (m_sampled.size() <= m_settings.compared_servers) {
    return;
  }
  for (std::size_t drawn = 0; drawn < m_settings.compared_servers; ++drawn) {
    const std::size_t other = drawn + RandomBelow(m_random, m_sampled.size() - drawn);
    std::swap(m_sampled[drawn], m_sampled[other]);
  }
  m_sampled.resize(m_settings.compared_servers);
}

std::uint32_t CompletionChooser::PreferredServer(const StageContext& context) const {
  std::uint32_t preferred = context.candidates.front();
  double highest = -1.0;
  for (const std::uint32_t candidate : context.candidates) {
    const IndexedServer& server = context.index.Servers()[candidate];
    const double rank = RendezvousRank(context.query.prefix_hash, server.name_hash,
                                       server.rates.prefill_tokens_per_second);
    if (rank > highest) {
      highest = rank;
      preferred = candidate;
    }
  }
  return preferred;
}

double CompletionChooser::CostOf(const StageContext& context,
                                 std::uint32_t candidate,
                                 bool probably_cached) const {
  const IndexedServer& server = context.index.Servers()[candidate];
  const auto hop = PredictHop(context.index, server, context.position, context.query);
  const double sessions = ExpectedSessions(context.index, server);
  const double target_interval = m_settings.wanted_between_tokens_seconds;
  const double step = StepSeconds(server.rates, sessions + 1.0, target_interval);
  const double slowdown = sessions * (step - StepSeconds(server.rates, sessions, target_interval));
  const double per_token =
      hop.links_per_token + step + m_settings.slowdown_of_others * slowdown +
      m_settings.weight_of_slow_links *
          std::max(0.0, hop.links_per_token - m_settings.tolerated_link_seconds);
  const double prefill = hop.prefill * (probably_cached ? 1.0 - m_settings.cached_share : 1.0);
  return prefill + context.query.answer_tokens * per_token;
}

double CompletionChooser::ExpectedSessions(const FleetIndex& index,
                                           const IndexedServer& server) const {
  const double local_weight = m_settings.trust_in_own_sessions;
  const double local_estimate = server.local_load->InFlight() * index.LiveInstances();
  return local_weight * local_estimate + (1.0 - local_weight) * CorrectedSessions(server);
}

}  // namespace zinnia
