#pragma once

#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Layers that a server said it holds, other than its entry in the store has it. */
struct LayersNews {
  BackendServerName server;
  LayerRange layers;
};

}  // namespace zinnia
