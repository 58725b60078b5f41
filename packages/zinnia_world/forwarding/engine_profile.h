#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** Speed and memory of one kind of accelerator. */
struct AcceleratorProfile {
  double memory_mb = 0.0;

  /** Multiplier for the decode step time given by EngineProfile. */
  double step_factor = 1.0;

  /** Multiplier for the prefill time. */
  double read_factor = 1.0;
};

/** Performance model of a pool of engines that hold layer ranges and forward requests to each other
    along a path.

    A decode step over all layers takes `step_ms` plus, for each decoding request,
    `step_ms_per_request` and `step_ms_per_thousand_tokens` per thousand tokens of its context. The
    time of a stage is proportional to its number of layers and its accelerator's factor.
*/
struct EngineProfile {
  std::uint32_t layers = 0;
  double layer_mb = 0.0;
  double cache_bytes_per_token = 0.0;  // Over all layers.
  double step_ms = 1.0;
  double step_ms_per_request = 0.0;
  double step_ms_per_thousand_tokens = 0.0;
  double read_tokens_per_second = 1.0;

  /** Decode steps per engine pass; the tokens of a pass are sent as one event. */
  double steps_per_pass = 1.0;

  /** Maximum number of prompt tokens prefilled per pass; 0 for no limit. */
  double read_tokens_per_pass = 0.0;
  double activation_bytes_per_token = 0.0;
  double failure_domain_link_mbps = 0.0;  // Shared by all inter-domain transfers.
  double usual_prompt_tokens = 500.0;
  double usual_answer_tokens = 200.0;
  std::map<std::string, AcceleratorProfile> accelerators;

  /** Whether requests are routed along a path of layer ranges. */
  bool IsLayered() const { return layers > 0; }

  /** Returns how many layers fit in the memory of an accelerator beside the cache of so many tokens
      in each of them: at most all, 0 if the accelerator is unknown. */
  std::uint32_t MostLayers(const std::string& accelerator, double tokens_per_layer = 0.0) const;
};

}  // namespace zinnia
