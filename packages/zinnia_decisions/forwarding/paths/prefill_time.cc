#include "zinnia_decisions/forwarding/paths/prefill_time.h"

#include "zinnia_world/forwarding/engine_profile.h"

namespace zinnia {
namespace {

constexpr double kMillisecondsPerSecond = 1'000.0;

}  // namespace

double PrefillMsPerTokenLayer(const EngineProfile& engine, const AcceleratorProfile& accelerator) {
  const double read_ms =
      accelerator.read_factor * kMillisecondsPerSecond / engine.read_tokens_per_second;
  double steps_ms = 0.0;
  if (engine.read_tokens_per_pass > 0) {
    steps_ms = engine.steps_per_pass * engine.step_ms * accelerator.step_factor /
               engine.read_tokens_per_pass;
  }
  return (read_ms + steps_ms) / engine.layers;
}

}  // namespace zinnia
