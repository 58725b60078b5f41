#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "zinnia_world/fleet/accelerator_kind.h"
#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Whether a backend server may get new work. Ordered: a higher state outranks a lower one. */
enum class BackendServerState { kLive, kSuspect, kLeaving, kGone };

std::string_view NameOf(BackendServerState state);

/** What a backend server holds of a model, as the engine itself says. */
struct LoadedRange {
  ModelName model;
  std::string version;
  LayerRange layers;

  bool operator==(const LoadedRange&) const = default;
};

/** A backend server: a model engine on an accelerator, or a plain service (then without `loaded`).

    Known from the platform's instance list and from the engine's own word. `incarnation` tells a
    restarted server from its former self under the same name.
*/
struct BackendServer {
  BackendServerName name;
  NetworkAddress address;
  FailureDomainName failure_domain;
  AcceleratorKind accelerator = AcceleratorKind::kLarge;
  std::string pool;
  std::uint64_t incarnation = 0;
  bool checks_fencing = false;
  std::optional<LoadedRange> loaded;
};

}  // namespace zinnia
