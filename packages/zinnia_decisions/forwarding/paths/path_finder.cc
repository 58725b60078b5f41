#include "zinnia_decisions/forwarding/paths/path_finder.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>

#include "zinnia_decisions/forwarding/division/capacity_quota.h"
#include "zinnia_decisions/forwarding/division/fleet_quotas.h"
#include "zinnia_decisions/forwarding/division/server_capacity.h"
#include "zinnia_decisions/forwarding/division/service_demand.h"
#include "zinnia_decisions/forwarding/limits/server_limits.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/inter_domain_link_meter.h"
#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"
#include "zinnia_decisions/forwarding/observed_state/server_health.h"
#include "zinnia_decisions/forwarding/paths/first_server_sampler.h"
#include "zinnia_decisions/forwarding/paths/idle_connections.h"
#include "zinnia_decisions/forwarding/paths/prefill_time.h"
#include "zinnia_decisions/forwarding/paths/service_classes.h"

namespace zinnia {
namespace {

using Candidate = PathFinder::Candidate;

constexpr double kUnreachable = std::numeric_limits<double>::infinity();
constexpr double kBytesPerMegabyte = 1e6;
constexpr double kTokensPerThousand = 1'000.0;

/** Share of a server's memory that requests may reserve. Above 1 because a reservation counts the
    whole expected answer, of which on average half is generated. Higher values make engines evict
    requests and prefill them again. */
constexpr double kMaxReservedShare = 1.08;

/** Share of a server's request limit that is used. The rest absorbs requests that other instances
    sent since their last report. */
constexpr double kMaxStartedShare = 0.95;

/** Share of memory or request slots in use above which a server may refuse for lack of capacity. */
constexpr double kNearlyFull = 0.7;

/** Time of one hop per token, inside a failure domain and between two. */
constexpr double kHopMs = 0.15;
constexpr double kInterDomainHopMs = 0.9;

/** Added cost of a crossing, for the time that other requests wait for the shared inter-domain
    link. */
constexpr double kCrossingPenaltyMs = 400.0;

/** Link use above which no request crosses: queueing delay grows without bound near saturation. */
constexpr double kMaxLinkUse = 0.6;

/** Weight of first-event delay relative to generation time. */
constexpr double kFirstEventDelayWeight = 8.0;

/** Cost of opening a connection. Decides between paths of similar speed. */
constexpr double kNewConnectionMs = 200.0;

/** A request that arrives at a busy stage waits for half of the running pass on average. */
constexpr double kPassWaitShare = 0.5;

/** Time per token at full load in units of the profile's step time. Converts requests in flight to
    a prompt rate. */
constexpr double kLoadedTokenSteps = 11.5;

/** Upper bound on the assumed prefill utilisation, which keeps the estimated wait finite. */
constexpr double kMaxPrefillUse = 0.95;

/** Number of other instances at which jitter reaches its full size. A small fleet needs little:
   nine instances learn of each other's choices before they are ten. */
constexpr double kFullJitterInstances = 50.0;

/** Largest relative cost increase by jitter. About as large as the load difference of equal servers
    between two reports, so that it decides among these and seldom picks a slow server. */
constexpr double kMaxJitter = 0.5;

/** Relative cost increase of a server at which every request fails. */
constexpr double kFailurePenalty = 9.0;

/** Relative cost increase of later parts at a server that is pausing: it wants no work, but may be
    the only one that holds its layers. */
constexpr double kPausePenalty = 9.0;

struct Step {
  double cost = kUnreachable;
  std::size_t from_boundary = 0;
  std::size_t from_domain = 0;
  const Candidate* server = nullptr;
};

/** One search over pairs of layer boundary and failure domain. */
class Search {
 public:
  Search(const EngineProfile& engine,
         const GenerationSize& size,
         std::vector<Candidate> candidates,
         double link_use)
      : m_engine(engine),
        m_size(size),
        m_candidates(std::move(candidates)),
        m_crossing_cost(CrossingCost(engine, size, link_use)) {}

  /** Returns the index of a failure domain, as used by Run(). */
  static std::size_t DomainNumber(std::map<FailureDomainName, std::size_t>& numbers,
                                  const FailureDomainName& domain) {
    return numbers.emplace(domain, numbers.size()).first->second;
  }

  std::optional<FoundPath> Run(std::uint32_t first_layer,
                               std::size_t start_domain,
                               std::size_t domains,
                               bool whole_ranges_only);

 private:
  static double CrossingCost(const EngineProfile& engine,
                             const GenerationSize& size,
                             double link_use);
  void CollectBoundaries(std::uint32_t first_layer);
  void Relax(std::size_t boundary, std::size_t domain, bool whole_ranges_only);
  double Cost(const Candidate& server, std::uint32_t layers, bool crossing) const;
  std::optional<FoundPath> Trace() const;
  Step& At(std::size_t boundary, std::size_t domain) {
    return m_steps[boundary * m_domains + domain];
  }
  const Step& At(std::size_t boundary, std::size_t domain) const {
    return m_steps[boundary * m_domains + domain];
  }

  const EngineProfile& m_engine;
  const GenerationSize& m_size;
  const std::vector<Candidate> m_candidates;
  const double m_crossing_cost;
  std::vector<std::uint32_t> m_boundaries;
  std::vector<Step> m_steps;
  std::size_t m_domains = 1;
};

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double LinkTransferMs(const EngineProfile& engine, const GenerationSize& size) {
  if (engine.failure_domain_link_mbps <= 0) {
    return 0.0;
  }
  const double bits = size.prompt_tokens * engine.activation_bytes_per_token * 8;
  return bits / (engine.failure_domain_link_mbps * 1'000.0);
}

double Search::CrossingCost(const EngineProfile& engine,
                            const GenerationSize& size,
                            double link_use) {
  if (link_use > kMaxLinkUse) {
    return kUnreachable;
  }
  return size.answer_tokens * kInterDomainHopMs + kCrossingPenaltyMs +
         LinkTransferMs(engine, size) / (1.0 - link_use);
}

void Search::CollectBoundaries(std::uint32_t first_layer) {
  m_boundaries = {first_layer, m_engine.layers};
  for (const Candidate& candidate : m_candidates) {
    for (const std::uint32_t layer : {candidate.entry->layers.first, candidate.entry->layers.end}) {
      if (layer > first_layer && layer < m_engine.layers) {
        m_boundaries.push_back(layer);
      }
    }
  }
  std::sort(m_boundaries.begin(), m_boundaries.end());
  m_boundaries.erase(std::unique(m_boundaries.begin(), m_boundaries.end()), m_boundaries.end());
}

double Search::Cost(const Candidate& server, std::uint32_t layers, bool crossing) const {
  return (server.ms_per_layer + server.first_event_ms_per_layer * kFirstEventDelayWeight) * layers +
         (crossing ? m_crossing_cost : m_size.answer_tokens * kHopMs);
}

double StartCost(const Candidate& server) {
  return server.first_event_delay_ms * kFirstEventDelayWeight +
         (server.has_connection ? 0.0 : kNewConnectionMs);
}

void Search::Relax(std::size_t boundary, std::size_t domain, bool whole_ranges_only) {
  const double so_far = At(boundary, domain).cost;
  if (so_far == kUnreachable) {
    return;
  }
  const std::uint32_t from = m_boundaries[boundary];
  const double tokens = m_size.prompt_tokens + m_size.answer_tokens;
  for (const Candidate& candidate : m_candidates) {
    const LayerRange& held = candidate.entry->layers;
    // A server that has just run the preceding layers would have run these in the same part if it
    // had memory for both.
    const bool ran_before = At(boundary, domain).server == &candidate;
    if (ran_before || held.first > from || held.end <= from) {
      continue;
    }
    for (std::size_t to = boundary + 1; to < m_boundaries.size(); ++to) {
      const std::uint32_t layer = m_boundaries[to];
      if (layer > held.end) {
        break;
      }
      const bool whole = layer == std::min(held.end, m_engine.layers);
      const std::uint32_t layers = layer - from;
      if ((from == 0 && !candidate.can_start_request) || (whole_ranges_only && !whole) ||
          tokens * layers > candidate.free_token_layers) {
        continue;
      }
      // The hop from the caller to the first server does not use the inter-domain link.
      const bool crossing = candidate.domain != domain && from > 0;
      const double cost =
          so_far + Cost(candidate, layers, crossing) + (from == 0 ? StartCost(candidate) : 0.0);
      Step& step = At(to, candidate.domain);
      if (cost < step.cost) {
        step = {cost, boundary, domain, &candidate};
      }
    }
  }
}

std::optional<FoundPath> Search::Run(std::uint32_t first_layer,
                                     std::size_t start_domain,
                                     std::size_t domains,
                                     bool whole_ranges_only) {
  m_domains = domains;
  CollectBoundaries(first_layer);
  m_steps.assign(m_boundaries.size() * m_domains, Step());
  At(0, start_domain).cost = 0.0;
  for (std::size_t boundary = 0; boundary + 1 < m_boundaries.size(); ++boundary) {
    for (std::size_t domain = 0; domain < m_domains; ++domain) {
      Relax(boundary, domain, whole_ranges_only);
    }
  }
  return Trace();
}

std::optional<FoundPath> Search::Trace() const {
  std::size_t boundary = m_boundaries.size() - 1;
  std::size_t domain = 0;
  for (std::size_t other = 1; other < m_domains; ++other) {
    if (At(boundary, other).cost < At(boundary, domain).cost) {
      domain = other;
    }
  }
  FoundPath found;
  found.expected_ms = At(boundary, domain).cost;
  if (found.expected_ms == kUnreachable) {
    return std::nullopt;
  }
  while (boundary > 0) {
    const Step& step = At(boundary, domain);
    const ServerEntry& entry = *step.server->entry;
    found.path.push_back(
        {entry.name, entry.address, {m_boundaries[step.from_boundary], m_boundaries[boundary]}});
    boundary = step.from_boundary;
    domain = step.from_domain;
  }
  std::reverse(found.path.begin(), found.path.end());
  return found;
}

bool HasRepeatedServer(const LayerPath& path) {
  std::set<BackendServerName> seen;
  return std::any_of(path.begin(), path.end(),
                     [&](const PathPart& part) { return !seen.insert(part.server).second; });
}

/** Counts the crossings between failure domains. Hops from or to a server that is not in the view
    are ignored; the first server of a rerouted request may have left it. */
double CountCrossings(const ForwardingView& view, const LayerPath& path) {
  double crossings = 0;
  const ServerEntry* previous = nullptr;
  for (const PathPart& part : path) {
    const auto found = view.servers.find(part.server);
    const ServerEntry* server = found == view.servers.end() ? nullptr : &found->second;
    const bool both_known = server != nullptr && previous != nullptr;
    if (both_known && server->failure_domain != previous->failure_domain) {
      crossings += 1;
    }
    previous = server;
  }
  return crossings;
}

/** Returns the generation time per layer. Requests are spread over the stages of their paths, so a
    pass processes about the share `held_layers / engine.layers` of `requests`. */
double MsPerLayer(const EngineProfile& engine,
                  const AcceleratorProfile& accelerator,
                  const GenerationSize& size,
                  std::uint32_t requests,
                  std::uint32_t held_layers) {
  const double context = (size.prompt_tokens + size.answer_tokens / 2) / kTokensPerThousand;
  const double per_request =
      engine.step_ms_per_request + engine.step_ms_per_thousand_tokens * context;
  const double in_one_pass = 1.0 + requests * static_cast<double>(held_layers) / engine.layers;
  const double step = (engine.step_ms + per_request * in_one_pass) *
                      (1.0 + kPassWaitShare * std::min(1.0, in_one_pass - 1.0));
  return size.answer_tokens * step * accelerator.step_factor / engine.layers;
}

/** Returns the prefill time per layer, including the wait for other prompts. Prompts are processed
    one after the other, so a server with a high slowdown factor `pace` may become saturated. */
double FirstEventMsPerLayer(const EngineProfile& engine,
                            const AcceleratorProfile& accelerator,
                            const GenerationSize& size,
                            double token_layers_in_use,
                            double pace) {
  const double ms_per_token_layer = PrefillMsPerTokenLayer(engine, accelerator) * pace;
  const double tokens = std::max(1.0, size.prompt_tokens + size.answer_tokens);
  const double residence_ms =
      std::max(1.0, size.answer_tokens) * engine.step_ms * kLoadedTokenSteps;
  const double prompts_in_use = token_layers_in_use * size.prompt_tokens / tokens;
  const double use = std::min(prompts_in_use * ms_per_token_layer / residence_ms, kMaxPrefillUse);
  return size.prompt_tokens * ms_per_token_layer / (1.0 - use);
}

}  // namespace

double TokenLayerCapacity(const EngineProfile& engine, const ServerEntry& server) {
  const auto accelerator = engine.accelerators.find(server.accelerator);
  if (accelerator == engine.accelerators.end() || engine.cache_bytes_per_token <= 0) {
    return 0.0;
  }
  const double weights = server.layers.Count() * engine.layer_mb;
  const double free_bytes =
      std::max(0.0, accelerator->second.memory_mb - weights) * kBytesPerMegabyte;
  return free_bytes / (engine.cache_bytes_per_token / engine.layers);
}

bool IsNearlyFull(const EngineProfile& engine, const ServerEntry& server, const ServerUse& use) {
  return use.first_stage_requests >= server.most_requests * kNearlyFull ||
         use.token_layers >= TokenLayerCapacity(engine, server) * kNearlyFull;
}

std::optional<FoundPath> PathFinder::Find(const ForwardingView& view,
                                          const ServiceName& service,
                                          const GenerationSize& size,
                                          const FailureDomainName& start,
                                          const std::set<BackendServerName>& avoided,
                                          const PathConstraints& constraints) const {
  const auto found_service = view.rules->services.find(service);
  if (found_service == view.rules->services.end() || !found_service->second.engine) {
    return std::nullopt;
  }
  const EngineProfile& engine = *found_service->second.engine;
  SearchSpace space;
  space.start_domain = Search::DomainNumber(space.domains, start);
  for (const auto& [name, server] : view.servers) {
    const auto accelerator = engine.accelerators.find(server.accelerator);
    const bool is_elsewhere =
        constraints.only_domain && server.failure_domain != *constraints.only_domain;
    if (server.service != service || is_elsewhere || accelerator == engine.accelerators.end()) {
      continue;
    }
    const std::size_t domain = Search::DomainNumber(space.domains, server.failure_domain);
    const bool is_first = constraints.first && constraints.first->server == name;
    if (is_first) {
      space.start_domain = domain;
    }
    if (is_first || server.draining || server.layers.Count() == 0 || avoided.contains(name) ||
        m_health.IsExcluded(name)) {
      continue;
    }
    space.candidates.push_back(MakeCandidate(engine, accelerator->second, size, server));
    space.candidates.back().domain = domain;
  }
  LimitToQuotas(view, engine, service, size, constraints, space.candidates);
  const std::optional<PathPart>& first = constraints.first;
  if (first && first->layers.end >= engine.layers) {
    return FoundPath{{*first}, 0.0};
  }
  if (!first && !constraints.only_domain) {
    const auto sampled = SampleFirstServers(space);
    auto found = sampled ? SearchPath(view, engine, size, *sampled, first) : std::nullopt;
    if (found) {
      return found;
    }
  }
  return SearchPath(view, engine, size, space, first);
}

/** Returns the server's expected costs for this request, from its load and health. */
PathFinder::Candidate PathFinder::MakeCandidate(const EngineProfile& engine,
                                                const AcceleratorProfile& accelerator,
                                                const GenerationSize& size,
                                                const ServerEntry& server) const {
  const ServerUse use = m_loads.UseOf(server.name);
  const double pace = m_health.SlowdownFactor(server.name);
  const double slowness = (1.0 + kFailurePenalty * m_health.FailureRate(server.name)) *
                          (m_limits.IsPausing(server.name) ? 1.0 + kPausePenalty : 1.0) *
                          JitterFactor();
  Candidate candidate;
  candidate.entry = &server;
  candidate.ms_per_layer =
      MsPerLayer(engine, accelerator, size, use.requests, server.layers.Count()) * pace * slowness;
  candidate.first_event_ms_per_layer =
      FirstEventMsPerLayer(engine, accelerator, size, use.token_layers, pace) * slowness;
  candidate.free_token_layers =
      TokenLayerCapacity(engine, server) * kMaxReservedShare - use.token_layers;
  candidate.can_start_request =
      use.first_stage_requests < server.most_requests * kMaxStartedShare &&
      m_limits.MaySend(server.name);
  candidate.first_event_delay_ms = Milliseconds(m_health.FirstEventDelay(server.name));
  candidate.has_connection = server.layers.first == 0 && m_connections.HasIdle(server.name);
  return candidate;
}

ServerCapacity CapacityOf(const EngineProfile& engine, const ServerEntry& server) {
  const double token_layers = TokenLayerCapacity(engine, server);
  return {server.name, static_cast<double>(server.most_requests),
          server.most_requests * kMaxStartedShare, token_layers, token_layers * kMaxReservedShare};
}

/** Draws no random numbers, so that the choices of other services do not depend on quotas. */
void PathFinder::LimitToQuotas(const ForwardingView& view,
                               const EngineProfile& engine,
                               const ServiceName& service,
                               const GenerationSize& size,
                               const PathConstraints& constraints,
                               std::vector<Candidate>& candidates) const {
  if (m_quotas == nullptr || !view.classes || !view.classes->IsPrioritized(service)) {
    return;
  }
  const ServiceDemand demand = m_quotas->DemandOf(view, service);
  for (Candidate& candidate : candidates) {
    const CapacityQuota quota = m_quotas->QuotaOf(CapacityOf(engine, *candidate.entry), demand,
                                                  constraints.lost_server, size.quota_share);
    const auto found = m_loads.Own().find(candidate.entry->name);
    const ServerUse own = found == m_loads.Own().end() ? ServerUse() : found->second;
    candidate.can_start_request =
        candidate.can_start_request && quota.MayBegin(own.first_stage_requests);
    candidate.free_token_layers =
        std::min(candidate.free_token_layers, quota.LargestPart(own.token_layers));
  }
}

/** Returns a random factor between 1 and 1 + kMaxJitter that spreads the choices of instances with
    the same load reports: without it all take the same best path until the next report. Always 1
    for a single instance. */
double PathFinder::JitterFactor() const {
  const double jitter_share = std::min(1.0, m_loads.OthersTrafficRatio() / kFullJitterInstances);
  return 1.0 + kMaxJitter * jitter_share * RandomUnit(m_random);
}

/** Returns nothing if the pool is small enough to be searched in full. */
std::optional<PathFinder::SearchSpace> PathFinder::SampleFirstServers(
    const SearchSpace& space) const {
  std::vector<std::size_t> firsts;
  std::vector<bool> is_same_domain;
  std::vector<bool> has_connection;
  for (std::size_t index = 0; index < space.candidates.size(); ++index) {
    const Candidate& candidate = space.candidates[index];
    if (candidate.entry->layers.first == 0 && candidate.can_start_request) {
      firsts.push_back(index);
      is_same_domain.push_back(candidate.domain == space.start_domain);
      has_connection.push_back(candidate.has_connection);
    }
  }
  if (firsts.size() <= FirstServerSampler::kMaxUnsampledServers) {
    return std::nullopt;
  }
  const std::vector<bool> drawn = FirstServerSampler(m_random).Draw(is_same_domain, has_connection);
  SearchSpace sampled = space;
  std::set<std::size_t> domains;
  for (std::size_t first = 0; first < firsts.size(); ++first) {
    sampled.candidates[firsts[first]].can_start_request = drawn[first];
    if (drawn[first]) {
      domains.insert(sampled.candidates[firsts[first]].domain);
    }
  }
  std::erase_if(sampled.candidates,
                [&](const Candidate& candidate) { return !domains.contains(candidate.domain); });
  return sampled;
}

std::optional<FoundPath> PathFinder::SearchPath(const ForwardingView& view,
                                                const EngineProfile& engine,
                                                const GenerationSize& size,
                                                const SearchSpace& space,
                                                const std::optional<PathPart>& first) const {
  const double link_use = m_link_meter.OwnUtilization() * static_cast<double>(view.live_instances);
  Search search(engine, size, space.candidates, link_use);
  const std::uint32_t first_layer = first ? first->layers.end : 0;
  auto found = search.Run(first_layer, space.start_domain, space.domains.size(), false);
  if (found && HasRepeatedServer(found->path)) {
    found = search.Run(first_layer, space.start_domain, space.domains.size(), true);
  }
  if (!found) {
    return std::nullopt;
  }
  if (first) {
    found->path.insert(found->path.begin(), *first);
  }
  found->link_ms = CountCrossings(view, found->path) * LinkTransferMs(engine, size);
  return found;
}

}  // namespace zinnia
