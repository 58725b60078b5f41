#pragma once

#include "zinnia_world/names/names.h"

namespace zinnia {

/** What a server can run at once, and what requests may use of it in total. */
struct ServerCapacity {
  BackendServerName server;

  /** Requests that begin at the server. */
  double requests = 0.0;
  double usable_requests = 0.0;

  /** Memory in token-layers. The usable amount may exceed it, see PathFinder. */
  double token_layers = 0.0;
  double usable_token_layers = 0.0;
};

}  // namespace zinnia
