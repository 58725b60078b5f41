#pragma once

#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** A server's own statement of its state, which may be newer than its record in the store. */
struct ServerStateReport {
  BackendServerName server;

  /** The layers that the server holds. Ignored if `leaving`. */
  LayerRange layers;

  /** The server accepts no new requests, as before a planned shutdown. */
  bool leaving = false;

  /** The server itself announced that it is leaving; otherwise that is inferred from a refusal. */
  bool announced = false;
};

}  // namespace zinnia
