#pragma once

#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** What a server said of itself, other than its entry in the store has it. */
struct ServerStateReport {
  BackendServerName server;

  /** The layers that it holds; says nothing if `leaving`. */
  LayerRange layers;

  /** It takes no new work, as before a planned end. */
  bool leaving = false;
};

}  // namespace zinnia
