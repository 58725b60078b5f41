#pragma once

#include <cstdint>
#include <functional>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/forwarding/server_entry.h"

namespace zinnia {

/** Orders to engines to hold layers. Callbacks run later, once, on the control thread.
    kStaleEpoch: a holder with a higher fencing number has been there. kOutcomeUnknown: no answer;
    the order may still be carried out, seconds later. kBackendRejected: it does not fit the
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
