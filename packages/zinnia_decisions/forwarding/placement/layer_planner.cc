#include "zinnia_decisions/forwarding/placement/layer_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <set>

#include "zinnia_decisions/forwarding/paths/path_finder.h"
#include "zinnia_decisions/forwarding/placement/layer_division.h"
#include "zinnia_world/forwarding/engine_profile.h"
#include "zinnia_world/forwarding/server_entry.h"

namespace zinnia {
namespace {

/** Smallest ratio of memory to weights of a chain. The memory beyond the weights holds requests. */
constexpr double kMinMemoryToWeights = 1.25;

/** Ratio of memory to weights at which a group is split into several chains. A single large chain
    has more memory for requests, but is limited by its first engine, has more hops, and fails as a
    whole. */
constexpr double kTargetMemoryToWeights = 1.6;

/** Share of a late engine's memory used for weights. About that of planned chains. */
constexpr double kLateEngineWeightShare = 0.6;

/** Share of a second holder's memory used for weights. More layers cover more losses; the rest must
    hold the requests of one chain. */
constexpr double kSecondHolderWeightShare = 0.82;

using Chain = std::vector<const ServerEntry*>;

const AcceleratorProfile* AcceleratorOf(const EngineProfile& engine, const ServerEntry& server) {
  const auto found = engine.accelerators.find(server.accelerator);
  return found == engine.accelerators.end() ? nullptr : &found->second;
}

double MemoryOf(const EngineProfile& engine, const ServerEntry& server) {
  const AcceleratorProfile* accelerator = AcceleratorOf(engine, server);
  return accelerator == nullptr ? 0.0 : accelerator->memory_mb;
}

double MemoryOf(const EngineProfile& engine, const Chain& chain) {
  return std::accumulate(
      chain.begin(), chain.end(), 0.0,
      [&](double sum, const ServerEntry* server) { return sum + MemoryOf(engine, *server); });
}

/** Whether the chain can hold all layers, each server a whole number of them. */
bool CanHoldAllLayers(const EngineProfile& engine, const Chain& chain) {
  std::uint64_t most = 0;
  for (const ServerEntry* server : chain) {
    most += engine.MostLayers(server->accelerator);
  }
  return most >= engine.layers;
}

bool CanFormChain(const EngineProfile& engine, const Chain& chain) {
  return MemoryOf(engine, chain) >= kMinMemoryToWeights * engine.layers * engine.layer_mb &&
         CanHoldAllLayers(engine, chain);
}

void CountHolders(const LayerRange& range, std::vector<std::uint32_t>& counts) {
  for (std::uint32_t layer = range.first; layer < range.end && layer < counts.size(); ++layer) {
    ++counts[layer];
  }
}

/** Distributes all layers over the chain in proportion to memory, without exceeding any engine. */
LayerPlanner::Ranges SplitLayers(const EngineProfile& engine, const Chain& chain) {
  std::vector<LayerPart> parts;
  for (const ServerEntry* server : chain) {
    parts.push_back({MemoryOf(engine, *server), engine.MostLayers(server->accelerator)});
  }
  const std::vector<LayerRange> divided = DivideLayers({0, engine.layers}, parts);
  LayerPlanner::Ranges ranges;
  for (std::size_t index = 0; index < divided.size(); ++index) {
    if (divided[index].Count() > 0) {
      ranges[chain[index]->name] = divided[index];
    }
  }
  return ranges;
}

/** Takes whole groups of equal accelerators, fastest first, until they can form a chain. Returns an
    empty chain if they cannot. */
Chain TakeChain(const EngineProfile& engine, Chain& pool) {
  std::stable_sort(pool.begin(), pool.end(), [&](const auto* left, const auto* right) {
    return AcceleratorOf(engine, *left)->step_factor < AcceleratorOf(engine, *right)->step_factor;
  });
  Chain chain;
  std::size_t taken = 0;
  while (taken < pool.size() && !CanFormChain(engine, chain)) {
    const std::string& group = pool[taken]->accelerator;
    while (taken < pool.size() && pool[taken]->accelerator == group) {
      chain.push_back(pool[taken++]);
    }
  }
  if (!CanFormChain(engine, chain)) {
    return {};
  }
  pool.erase(pool.begin(), pool.begin() + static_cast<std::ptrdiff_t>(taken));
  return chain;
}

/** Splits a group into so many chains, balanced by memory. */
std::vector<Chain> SplitGroup(const EngineProfile& engine, const Chain& group, std::size_t count) {
  std::vector<Chain> chains(count);
  for (const ServerEntry* server : group) {
    const auto smallest =
        std::min_element(chains.begin(), chains.end(), [&](const Chain& one, const Chain& other) {
          return MemoryOf(engine, one) < MemoryOf(engine, other);
        });
    smallest->push_back(server);
  }
  return chains;
}

/** Splits a group into as many chains as its memory allows. */
std::vector<Chain> SplitGroup(const EngineProfile& engine, const Chain& group) {
  const double weights = engine.layers * engine.layer_mb;
  auto count =
      static_cast<std::size_t>(MemoryOf(engine, group) / (kTargetMemoryToWeights * weights));
  for (; count > 1; --count) {
    std::vector<Chain> chains = SplitGroup(engine, group, count);
    const bool all_hold = std::all_of(chains.begin(), chains.end(), [&](const Chain& chain) {
      return CanHoldAllLayers(engine, chain);
    });
    if (all_hold) {
      return chains;
    }
  }
  return {group};
}

/** Returns the first layer at which second holders of `count` layers cover the most stages. Ties go
    to the layers with the fewest holders. */
std::uint32_t BestFirstLayer(const EngineProfile& engine,
                             const std::vector<LayerRange>& stages,
                             const std::vector<std::uint32_t>& holders,
                             std::uint32_t count) {
  std::uint32_t best = 0;
  std::pair<std::size_t, std::int64_t> most = {0, std::numeric_limits<std::int64_t>::min()};
  for (std::uint32_t first = 0; first + count <= engine.layers; ++first) {
    const auto covered = static_cast<std::size_t>(
        std::count_if(stages.begin(), stages.end(), [&](const LayerRange& stage) {
          return stage.first >= first && stage.end <= first + count;
        }));
    std::int64_t held = 0;
    for (std::uint32_t layer = first; layer < first + count; ++layer) {
      held += holders[layer];
    }
    if (std::make_pair(covered, -held) > most) {
      most = {covered, -held};
      best = first;
    }
  }
  return best;
}

/** Returns ranges for the engines left over in a failure domain with chains: as many of its layers
    as fit, each once. */
LayerPlanner::Ranges PlanSecondHolders(const EngineProfile& engine,
                                       const Chain& left_over,
                                       const std::vector<LayerRange>& stages,
                                       const std::vector<std::uint32_t>& holders) {
  std::vector<std::uint32_t> most;
  std::uint32_t sum = 0;
  for (const ServerEntry* server : left_over) {
    const double share = MemoryOf(engine, *server) * kSecondHolderWeightShare / engine.layer_mb;
    most.push_back(std::min(static_cast<std::uint32_t>(share), engine.layers));
    sum += most.back();
  }
  LayerPlanner::Ranges ranges;
  const std::uint32_t count = std::min(sum, engine.layers);
  const std::uint32_t first = BestFirstLayer(engine, stages, holders, count);
  std::uint64_t before = 0;
  for (std::size_t index = 0; index < left_over.size(); ++index) {
    const auto boundary = [&](std::uint64_t part) {
      return first + static_cast<std::uint32_t>(count * part / sum);
    };
    const LayerRange range = {boundary(before), boundary(before + most[index])};
    before += most[index];
    if (range.Count() > 0) {
      ranges[left_over[index]->name] = range;
    }
  }
  return ranges;
}

/** Returns the token capacity of each layer over all holders. */
std::vector<double> CapacityByLayer(const EngineProfile& engine,
                                    const std::vector<ServerEntry>& holders) {
  std::vector<double> capacity(engine.layers, 0.0);
  for (const ServerEntry& holder : holders) {
    const std::uint32_t count = holder.layers.Count();
    for (std::uint32_t layer = holder.layers.first;
         count > 0 && layer < std::min(holder.layers.end, engine.layers); ++layer) {
      capacity[layer] += TokenLayerCapacity(engine, holder) / count;
    }
  }
  return capacity;
}

}  // namespace

LayerPlanner::Ranges LayerPlanner::PlanPool(const EngineProfile& engine,
                                            const std::vector<ServerEntry>& servers) {
  std::map<FailureDomainName, Chain> by_domain;
  for (const ServerEntry& server : servers) {
    if (engine.MostLayers(server.accelerator) > 0) {
      by_domain[server.failure_domain].push_back(&server);
    }
  }
  Ranges ranges;
  std::vector<ServerEntry> holders;
  const auto place = [&](const Chain& chain) {
    for (const auto& [name, range] : SplitLayers(engine, chain)) {
      ranges[name] = range;
    }
  };
  Chain rest;
  std::vector<std::uint32_t> holder_counts(engine.layers, 0);
  std::map<FailureDomainName, std::vector<LayerRange>> stages;
  for (auto& [domain, pool] : by_domain) {
    for (Chain chain = TakeChain(engine, pool); !chain.empty(); chain = TakeChain(engine, pool)) {
      for (const Chain& part : SplitGroup(engine, chain)) {
        place(part);
        for (const ServerEntry* server : part) {
          stages[domain].push_back(ranges[server->name]);
          CountHolders(ranges[server->name], holder_counts);
        }
      }
    }
  }
  for (auto& [domain, pool] : by_domain) {
    if (stages[domain].empty()) {
      rest.insert(rest.end(), pool.begin(), pool.end());
      continue;
    }
    for (const auto& [name, range] :
         PlanSecondHolders(engine, pool, stages[domain], holder_counts)) {
      ranges[name] = range;
      CountHolders(range, holder_counts);
    }
  }
  // Engines left over in domains without a chain form chains across domains, ordered by domain to
  // keep crossings few.
  if (CanFormChain(engine, rest)) {
    for (const Chain& part : SplitGroup(engine, rest)) {
      place(part);
    }
    return ranges;
  }
  for (const ServerEntry& server : servers) {
    if (ranges.contains(server.name)) {
      holders.push_back(server);
      holders.back().layers = ranges[server.name];
    }
  }
  for (const ServerEntry* server : rest) {
    if (const auto range = RangeFor(engine, *server, holders)) {
      ranges[server->name] = *range;
      holders.push_back(*server);
      holders.back().layers = *range;
    }
  }
  return ranges;
}

std::optional<LayerRange> LayerPlanner::RangeFor(const EngineProfile& engine,
                                                 const ServerEntry& server,
                                                 const std::vector<ServerEntry>& holders) {
  const std::uint32_t most = engine.MostLayers(server.accelerator);
  if (most == 0) {
    return std::nullopt;
  }
  const auto usual = static_cast<std::uint32_t>(most * kLateEngineWeightShare);
  const std::uint32_t count = std::clamp(usual, 1U, most);
  const std::vector<double> capacity = CapacityByLayer(engine, holders);
  std::set<std::uint32_t> starts = {0, engine.layers - count};
  for (const ServerEntry& holder : holders) {
    if (holder.layers.Count() == 0) {
      continue;
    }
    starts.insert(std::min(holder.layers.first, engine.layers - count));
    starts.insert(holder.layers.end >= count ? holder.layers.end - count : 0);
  }
  LayerRange best;
  double most_needed = -1.0;
  for (const std::uint32_t start : starts) {
    double needed = 0.0;
    for (std::uint32_t layer = start; layer < start + count; ++layer) {
      needed += 1.0 / (1.0 + capacity[layer]);
    }
    if (needed > most_needed) {
      most_needed = needed;
      best = {start, start + count};
    }
  }
  return best;
}

}  // namespace zinnia
