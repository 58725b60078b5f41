#pragma once

#include <vector>

#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** The layers of a request's path that one server runs. */
struct PathPart {
  BackendServerName server;
  NetworkAddress address;
  LayerRange layers;

  bool operator==(const PathPart&) const = default;
};

/** Contiguous parts in layer order. */
using LayerPath = std::vector<PathPart>;

}  // namespace zinnia
