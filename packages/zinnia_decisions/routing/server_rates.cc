#include "zinnia_decisions/routing/server_rates.h"

#include <algorithm>

namespace zinnia {
namespace {

/** Decode rate of the fastest accelerator at full batch, in layers times tokens per second. */
constexpr double kNominalLayerTokensPerSecond = 24'000.0;

/** Step time of an idle server in tokens at full batch. A single token bears the whole cost of
    reading the weights. */
constexpr double kEmptyStepTokens = 3.0;
constexpr double kPrefillToDecodeRatio = 8.0;

double RelativeSpeed(AcceleratorKind kind) {
  switch (kind) {
    case AcceleratorKind::kLarge:
      return 1.0;
    case AcceleratorKind::kMedium:
      return 0.5;
    case AcceleratorKind::kSmall:
      return 0.25;
    case AcceleratorKind::kEdge:
      break;
  }
  return 0.1;
}

double MeasuredOr(double measured, double nominal) {
  return measured > 0.0 ? measured : nominal;
}

}  // namespace

ServerRates RatesOf(const ServerView& view) {
  const double layers =
      view.server.loaded ? std::max<double>(1.0, view.server.loaded->layers.Count()) : 1.0;
  const double speed = RelativeSpeed(view.server.accelerator);
  const double decode =
      MeasuredOr(view.load.decode_tokens_per_second, kNominalLayerTokensPerSecond * speed / layers);
  const double prefill =
      MeasuredOr(view.load.prefill_tokens_per_second, kPrefillToDecodeRatio * decode);
  const double measured_step = std::chrono::duration<double>(view.load.empty_step_time).count();
  return {.base_step_seconds = MeasuredOr(measured_step, kEmptyStepTokens / decode),
          .decode_tokens_per_second = decode * view.weight,
          .prefill_tokens_per_second = prefill * view.weight};
}

}  // namespace zinnia
