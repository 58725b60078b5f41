#include "zinnia_decisions/forwarding/paths/path_finder.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>

#include "zinnia_decisions/forwarding/beliefs/forwarding_view.h"
#include "zinnia_decisions/forwarding/beliefs/load_tracker.h"
#include "zinnia_decisions/forwarding/beliefs/pipe_meter.h"
#include "zinnia_decisions/forwarding/beliefs/server_health.h"
#include "zinnia_decisions/forwarding/limits/server_limits.h"
#include "zinnia_decisions/forwarding/paths/first_server_sampler.h"
#include "zinnia_decisions/forwarding/paths/kept_connections.h"
#include "zinnia_decisions/forwarding/paths/reading_time.h"

namespace zinnia {
namespace {

using Candidate = PathFinder::Candidate;

constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr double kBytesPerMegabyte = 1e6;
constexpr double kTokensPerThousand = 1'000.0;

/** Part of a server's memory that requests may reserve. More than all of it: a reservation counts
    the whole expected answer, of which half is there on average. Too much costs: an engine out of
    memory throws its newest request out and reads it again. */
constexpr double kReservableShare = 1.08;

/** Part of the requests that may begin at an engine that is used: others' last choices are only
    estimated, and what comes above the bound is refused. */
constexpr double kBegunShare = 0.95;

/** A server with this part of its memory or places in use may refuse for that alone. */
constexpr double kNearlyFull = 0.7;

/** Time of one hop inside and between failure domains, per token; from the published delays. */
constexpr double kHopMs = 0.15;
constexpr double kCrossingMs = 0.9;

/** Crossings are avoided beyond their own time: each takes a part of the one pipe that others wait
    for. A whole path in another failure domain costs nothing of it. */
constexpr double kCrossingAversionMs = 400.0;

/** Above this use of the pipe by all instances no request crosses: the wait for a first token grows
    without bound as it fills. */
constexpr double kMostPipeUse = 0.6;

/** A first event that is late costs most of a request's worth, a slow answer nothing. */
constexpr double kWaitWeight = 8.0;

/** A new connection counts as so much expected time, a small part of a usual answer's: of two paths
    about equally fast a request takes the one whose first server it need not connect to. */
constexpr double kNewConnectionMs = 200.0;

/** A request that arrives at a busy stage waits for half of the pass that is running. */
constexpr double kWaitForPass = 0.5;

/** Time of a token at full load in units of the profile's step. Gives the rate of prompts from the
    requests in flight. */
constexpr double kTokenTimeInSteps = 11.5;

/** Reading counted as this busy at most: beyond it the wait has no bound, and a request still needs
    some path. */
constexpr double kMostReadingUse = 0.95;

/** With so many others choosing as often as this instance, chance counts in full. Nine instances
   are told of each other's choices before they are ten. */
constexpr double kCrowd = 50.0;

/** How much slower chance may make a server look: as much as loads of equal servers differ between
    two reports, so that it decides among these and seldom takes a slow one. */
constexpr double kMostChance = 0.5;

/** A server that fails all its requests looks this many times slower. */
constexpr double kFailurePenalty = 9.0;

struct Step {
  double cost = kNever;
  std::size_t from_boundary = 0;
  std::size_t from_domain = 0;
  const Candidate* server = nullptr;
};

/** One search over (boundary, failure domain). */
class Search {
 public:
  Search(const EngineProfile& engine,
         const GenerationSize& size,
         std::vector<Candidate> candidates,
         double pipe_use)
      : m_engine(engine),
        m_size(size),
        m_candidates(std::move(candidates)),
        m_crossing_cost(CrossingCost(engine, size, pipe_use)) {}

  /** Numbers failure domains; the caller of Run uses the same numbers. */
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
                             double pipe_use);
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

double PipeMsOf(const EngineProfile& engine, const GenerationSize& size) {
  if (engine.failure_domain_link_mbps <= 0) {
    return 0.0;
  }
  const double bits = size.prompt_tokens * engine.activation_bytes_per_token * 8;
  return bits / (engine.failure_domain_link_mbps * 1'000.0);
}

double Search::CrossingCost(const EngineProfile& engine,
                            const GenerationSize& size,
                            double pipe_use) {
  if (pipe_use > kMostPipeUse) {
    return kNever;
  }
  return size.answer_tokens * kCrossingMs + kCrossingAversionMs +
         PipeMsOf(engine, size) / (1.0 - pipe_use);
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
  return (server.ms_per_layer + server.first_event_ms_per_layer * kWaitWeight) * layers +
         (crossing ? m_crossing_cost : m_size.answer_tokens * kHopMs);
}

double CostOfBeginning(const Candidate& server) {
  return server.wait_ms * kWaitWeight + (server.has_connection ? 0.0 : kNewConnectionMs);
}

void Search::Relax(std::size_t boundary, std::size_t domain, bool whole_ranges_only) {
  const double so_far = At(boundary, domain).cost;
  if (so_far == kNever) {
    return;
  }
  const std::uint32_t from = m_boundaries[boundary];
  const double tokens = m_size.prompt_tokens + m_size.answer_tokens;
  for (const Candidate& candidate : m_candidates) {
    const LayerRange& held = candidate.entry->layers;
    // Whoever ran the layers before could have run these in the same part, if it had memory for
    // both.
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
      if ((from == 0 && !candidate.may_begin) || (whole_ranges_only && !whole) ||
          tokens * layers > candidate.free_token_layers) {
        continue;
      }
      // Entering the first server from the callers' side takes no engine's pipe.
      const bool crossing = candidate.domain != domain && from > 0;
      const double cost = so_far + Cost(candidate, layers, crossing) +
                          (from == 0 ? CostOfBeginning(candidate) : 0.0);
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
  if (found.expected_ms == kNever) {
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

bool VisitsTwice(const LayerPath& path) {
  std::set<BackendServerName> seen;
  return std::any_of(path.begin(), path.end(),
                     [&](const PathPart& part) { return !seen.insert(part.server).second; });
}

/** The first server of a rerouted request may have left the view; its hop is then not counted. */
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

/** `requests` run at a server that holds `held_layers`. They are spread over the stages of their
    paths, so a pass there meets about the part of them that its layers are of all. */
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
                      (1.0 + kWaitForPass * std::min(1.0, in_one_pass - 1.0));
  return size.answer_tokens * step * accelerator.step_factor / engine.layers;
}

/** Prompts are read one after the other between the steps. `pace` times slower, a server may take
    in less than arrives, and the time of steps alone does not show it. */
double FirstEventMsPerLayer(const EngineProfile& engine,
                            const AcceleratorProfile& accelerator,
                            const GenerationSize& size,
                            double token_layers_in_use,
                            double pace) {
  const double ms_per_token_layer = ReadingMsPerTokenLayer(engine, accelerator) * pace;
  const double tokens = std::max(1.0, size.prompt_tokens + size.answer_tokens);
  const double residence_ms =
      std::max(1.0, size.answer_tokens) * engine.step_ms * kTokenTimeInSteps;
  const double prompts_in_use = token_layers_in_use * size.prompt_tokens / tokens;
  const double use = std::min(prompts_in_use * ms_per_token_layer / residence_ms, kMostReadingUse);
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

bool LooksFull(const EngineProfile& engine, const ServerEntry& server, const ServerUse& use) {
  return use.begun >= server.most_requests * kNearlyFull ||
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
    space.candidates.push_back(Describe(engine, accelerator->second, size, server));
    space.candidates.back().domain = domain;
  }
  const std::optional<PathPart>& first = constraints.first;
  if (first && first->layers.end >= engine.layers) {
    return FoundPath{{*first}, 0.0};
  }
  if (!first && !constraints.only_domain) {
    const auto few = DrawFew(space);
    auto found = few ? RunIn(view, engine, size, *few, first) : std::nullopt;
    if (found) {
      return found;
    }
  }
  return RunIn(view, engine, size, space, first);
}

/** What the server takes for this request, by its load and what is known of it. */
PathFinder::Candidate PathFinder::Describe(const EngineProfile& engine,
                                           const AcceleratorProfile& accelerator,
                                           const GenerationSize& size,
                                           const ServerEntry& server) const {
  const ServerUse use = m_loads.UseOf(server.name);
  const double pace = m_health.Pace(server.name);
  const double slowness =
      (1.0 + kFailurePenalty * m_health.FailureShare(server.name)) * ChanceFactor();
  Candidate candidate;
  candidate.entry = &server;
  candidate.ms_per_layer =
      MsPerLayer(engine, accelerator, size, use.requests, server.layers.Count()) * pace * slowness;
  candidate.first_event_ms_per_layer =
      FirstEventMsPerLayer(engine, accelerator, size, use.token_layers, pace) * slowness;
  candidate.free_token_layers =
      TokenLayerCapacity(engine, server) * kReservableShare - use.token_layers;
  candidate.may_begin =
      use.begun < server.most_requests * kBegunShare && m_limits.MaySend(server.name);
  candidate.wait_ms = Milliseconds(m_health.FirstEventDelay(server.name));
  candidate.has_connection = server.layers.first == 0 && m_connections.HasUnused(server.name);
  return candidate;
}

/** 1 for who chooses alone; for one of many who choose from the same news, 1 to 1 + kMostChance. */
double PathFinder::ChanceFactor() const {
  const double crowd = std::min(1.0, m_loads.OthersTrafficRatio() / kCrowd);
  return 1.0 + kMostChance * crowd * RandomUnit(m_random);
}

/** Nothing if the pool is small enough to be looked at whole. */
std::optional<PathFinder::SearchSpace> PathFinder::DrawFew(const SearchSpace& space) const {
  std::vector<std::size_t> firsts;
  std::vector<bool> is_same_domain;
  std::vector<bool> has_connection;
  for (std::size_t index = 0; index < space.candidates.size(); ++index) {
    const Candidate& candidate = space.candidates[index];
    if (candidate.entry->layers.first == 0 && candidate.may_begin) {
      firsts.push_back(index);
      is_same_domain.push_back(candidate.domain == space.start_domain);
      has_connection.push_back(candidate.has_connection);
    }
  }
  if (firsts.size() <= FirstServerSampler::kFewFirstServers) {
    return std::nullopt;
  }
  const std::vector<bool> drawn = FirstServerSampler(m_random).Draw(is_same_domain, has_connection);
  SearchSpace few = space;
  std::set<std::size_t> domains;
  for (std::size_t first = 0; first < firsts.size(); ++first) {
    few.candidates[firsts[first]].may_begin = drawn[first];
    if (drawn[first]) {
      domains.insert(few.candidates[firsts[first]].domain);
    }
  }
  std::erase_if(few.candidates,
                [&](const Candidate& candidate) { return !domains.contains(candidate.domain); });
  return few;
}

std::optional<FoundPath> PathFinder::RunIn(const ForwardingView& view,
                                           const EngineProfile& engine,
                                           const GenerationSize& size,
                                           const SearchSpace& space,
                                           const std::optional<PathPart>& first) const {
  const double pipe_use = m_pipe.OwnUse() * static_cast<double>(view.live_instances);
  Search search(engine, size, space.candidates, pipe_use);
  const std::uint32_t first_layer = first ? first->layers.end : 0;
  auto found = search.Run(first_layer, space.start_domain, space.domains.size(), false);
  if (found && VisitsTwice(found->path)) {
    found = search.Run(first_layer, space.start_domain, space.domains.size(), true);
  }
  if (!found) {
    return std::nullopt;
  }
  if (first) {
    found->path.insert(found->path.begin(), *first);
  }
  found->pipe_ms = CountCrossings(view, found->path) * PipeMsOf(engine, size);
  return found;
}

}  // namespace zinnia
