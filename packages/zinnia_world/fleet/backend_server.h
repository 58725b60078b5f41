#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "zinnia_world/fleet/accelerator_kind.h"
#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Whether a backend server may receive new work. A higher state takes precedence over a lower one.
 */
enum class BackendServerState { kLive, kSuspect, kLeaving, kGone };

std::string_view NameOf(BackendServerState state);

/** The model layers that a backend server has loaded, as reported by its engine. */
struct LoadedRange {
  ModelName model;
  std::string version;
  LayerRange layers;

  bool operator==(const LoadedRange&) const = default;
};

/** A backend server: a model engine on an accelerator, or a plain service without `loaded`.

    Combines the platform's instance list with the engine's own reports. `incarnation` distinguishes
    successive starts of a server under the same name.
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
