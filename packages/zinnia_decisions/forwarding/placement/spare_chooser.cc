#include "zinnia_decisions/forwarding/placement/spare_chooser.h"

#include <algorithm>
#include <cmath>

#include "zinnia_decisions/forwarding/placement/domain_capacity.h"
#include "zinnia_decisions/forwarding/placement/layer_division.h"
#include "zinnia_world/forwarding/engine_profile.h"

namespace zinnia {
namespace {

/** Shares of a spare's memory that the weights of a missing range may take: the target and the
    upper limit. */
constexpr double kTargetWeightShare = 0.5;
constexpr double kMaxWeightShare = 0.8;

/** Requests of usual size for which spares must keep memory, beyond the upper limit of weights, if
    nobody else holds the range. */
constexpr double kLeastRequests = 4;

using Spares = std::vector<const ServerEntry*>;

double StepFactor(const EngineProfile& profile, const ServerEntry& engine) {
  const auto found = profile.accelerators.find(engine.accelerator);
  return found == profile.accelerators.end() ? 0.0 : found->second.step_factor;
}

bool IsCandidate(const EngineProfile& profile,
                 const SparePool& pool,
                 const ServerEntry& lost,
                 const ServerEntry& engine) {
  const bool is_slower = StepFactor(profile, engine) > StepFactor(profile, lost);
  return engine.failure_domain == lost.failure_domain && engine.layers.Count() > 0 &&
         profile.MostLayers(engine.accelerator) > 0 && !pool.busy.contains(engine.name) &&
         (is_slower || pool.late_engines.contains(engine.name));
}

Spares SparesFor(const EngineProfile& profile, const SparePool& pool, const ServerEntry& lost) {
  Spares candidates;
  for (const ServerEntry& engine : pool.engines) {
    if (IsCandidate(profile, pool, lost, engine)) {
      candidates.push_back(&engine);
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(), [&](const auto* one, const auto* other) {
    return StepFactor(profile, *one) > StepFactor(profile, *other);
  });
  DomainCapacity capacity(profile, lost.failure_domain, pool.engines);
  std::erase_if(candidates, [&](const ServerEntry* engine) {
    const bool is_needed = !capacity.CanSpare(*engine);
    if (!is_needed) {
      capacity.Remove(*engine);
    }
    return is_needed;
  });
  return candidates;
}

double MemoryOf(const EngineProfile& profile, const ServerEntry& engine) {
  return profile.accelerators.at(engine.accelerator).memory_mb;
}

/** As many as hold the range with the target share of their memory, or all. */
Spares TakeEnough(const EngineProfile& profile, const Spares& spares, const LayerRange& missing) {
  Spares taken;
  double layers = 0.0;
  for (const ServerEntry* spare : spares) {
    if (layers >= missing.Count()) {
      break;
    }
    layers += MemoryOf(profile, *spare) * kTargetWeightShare / profile.layer_mb;
    taken.push_back(spare);
  }
  return taken;
}

/** A range cannot be divided to fractions of layers, so a spare may exceed the limit by one. */
LayerPart PartWithinLimit(const EngineProfile& profile, const ServerEntry& spare) {
  const double memory = MemoryOf(profile, spare);
  const auto most =
      static_cast<std::uint32_t>(std::ceil(memory * kMaxWeightShare / profile.layer_mb));
  return {memory, std::min(most, profile.MostLayers(spare.accelerator))};
}

LayerPart PartWithLeastRequests(const EngineProfile& profile, const ServerEntry& spare) {
  const double tokens =
      kLeastRequests * (profile.usual_prompt_tokens + profile.usual_answer_tokens);
  return {MemoryOf(profile, spare), profile.MostLayers(spare.accelerator, tokens)};
}

std::vector<SpareShare> Divide(const EngineProfile& profile,
                               const Spares& spares,
                               const LayerRange& missing,
                               LayerPart (*part_of)(const EngineProfile&, const ServerEntry&)) {
  std::vector<LayerPart> parts;
  for (const ServerEntry* spare : spares) {
    parts.push_back(part_of(profile, *spare));
  }
  const std::vector<LayerRange> ranges = DivideLayers(missing, parts);
  std::vector<SpareShare> shares;
  for (std::size_t index = 0; index < ranges.size(); ++index) {
    if (ranges[index].Count() > 0) {
      shares.push_back({spares[index]->name, ranges[index]});
    }
  }
  return shares;
}

bool IsWithinLimit(const EngineProfile& profile, const Spares& spares, const LayerRange& missing) {
  double memory = 0.0;
  for (const ServerEntry* spare : spares) {
    memory += MemoryOf(profile, *spare);
  }
  return missing.Count() * profile.layer_mb <= memory * kMaxWeightShare;
}

}  // namespace

std::vector<SpareShare> SpareChooser::DivideRange(const EngineProfile& profile,
                                                  const SparePool& pool,
                                                  const ServerEntry& lost,
                                                  const LayerRange& missing) {
  const Spares spares = SparesFor(profile, pool, lost);
  const auto same_kind = std::find_if(spares.begin(), spares.end(), [&](const ServerEntry* spare) {
    return spare->accelerator == lost.accelerator &&
           missing.Count() <= profile.MostLayers(spare->accelerator);
  });
  if (same_kind != spares.end()) {
    return {{(*same_kind)->name, missing}};
  }
  const Spares enough = TakeEnough(profile, spares, missing);
  if (IsWithinLimit(profile, enough, missing)) {
    return Divide(profile, enough, missing, &PartWithinLimit);
  }
  const DomainCapacity capacity(profile, lost.failure_domain, pool.engines);
  if (capacity.HasUncoveredLayer(missing)) {
    return Divide(profile, spares, missing, &PartWithLeastRequests);
  }
  return {};
}

}  // namespace zinnia
