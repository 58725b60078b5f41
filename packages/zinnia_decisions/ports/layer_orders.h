#pragma once

#include <cstdint>
#include <functional>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/forwarding/server_entry.h"

namespace zinnia {

/** Sends orders to engines to load layers. Each callback runs once, asynchronously, on the control
    thread. kStaleEpoch: the engine has seen a higher fencing number. kOutcomeUnknown: no response;
    the order may still be executed seconds later. kBackendRejected: the order is invalid in the
    engine's state. */
class LayerOrders {
 public:
  virtual ~LayerOrders() = default;
  virtual void Place(const ServerEntry& server,
                     LayerRange layers,
                     std::uint64_t fencing_number,
                     std::function<void(Result<void>)> callback) = 0;
};

}  // namespace zinnia
