#pragma once

#include <vector>

#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** The part of a request's way through the layers that one server runs. */
struct PathPart {
  BackendServerName server;
  NetworkAddress address;
  LayerRange layers;

  bool operator==(const PathPart&) const = default;
};

/** All parts in order: each begins where the one before ends. */
using LayerPath = std::vector<PathPart>;

}  // namespace zinnia
