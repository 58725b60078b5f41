#include "zinnia_decisions/forwarding/placement/spare_chooser.h"

#include <algorithm>
#include <cmath>

#include "zinnia_decisions/forwarding/placement/domain_capacity.h"
#include "zinnia_world/forwarding/engine_profile.h"

namespace zinnia {
namespace {

/** Shares of a spare's memory that the weights of a missing range may take: the target, the upper
    limit, and the share for a spare that covers the range alone. */
constexpr double kTargetWeightShare = 0.5;
constexpr double kMaxWeightShare = 0.8;
constexpr double kLoneSpareWeightShare = 1.0;

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
         !pool.busy.contains(engine.name) && (is_slower || pool.late_engines.contains(engine.name));
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

}  // namespace

std::vector<SpareShare> SpareChooser::DivideRange(const EngineProfile& profile,
                                                  const SparePool& pool,
                                                  const ServerEntry& lost,
                                                  const LayerRange& missing) {
  Spares spares = SparesFor(profile, pool, lost);
  const auto same_kind = std::find_if(spares.begin(), spares.end(), [&](const ServerEntry* spare) {
    return spare->accelerator == lost.accelerator;
  });
  const bool covers_alone = same_kind != spares.end();
  if (covers_alone) {
    spares = {*same_kind};
  }
  if (spares.empty()) {
    return {};
  }
  const double weights = missing.Count() * profile.layer_mb;
  const double memory = profile.accelerators.at(spares.front()->accelerator).memory_mb;
  const double usual = memory * (covers_alone ? kLoneSpareWeightShare : kTargetWeightShare);
  const double most = memory * (covers_alone ? kLoneSpareWeightShare : kMaxWeightShare);
  const auto wanted = static_cast<std::size_t>(std::ceil(weights / usual));
  const std::size_t count = std::min(wanted, spares.size());
  if (weights > static_cast<double>(count) * most) {
    return {};
  }
  std::vector<SpareShare> shares;
  for (std::size_t index = 0; index < count; ++index) {
    const auto boundary = [&](std::size_t part) {
      return missing.first + static_cast<std::uint32_t>(missing.Count() * part / count);
    };
    shares.push_back({spares[index]->name, {boundary(index), boundary(index + 1)}});
  }
  return shares;
}

}  // namespace zinnia
