#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "zinnia_base/errors/result.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/backend_server.h"

namespace zinnia {

/** An order to an engine to load a layer range of a model version. `epoch` is the fencing number;
    engines that check it refuse one lower than the highest seen. `valid_for` is how long after
    sending the engine may start the order. */
struct LoadOrder {
  std::string order_id;
  LoadedRange target;
  std::uint64_t epoch = 0;
  std::chrono::milliseconds valid_for{5'000};
};

/** The state that an engine reports. `running` and `queued` count its requests and may be stale. */
struct EngineState {
  std::optional<LoadedRange> loaded;
  std::optional<LoadedRange> loading;
  bool leaving = false;
  bool checks_fencing = false;
  std::uint64_t highest_epoch = 0;
  std::uint64_t incarnation = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
};

/** Sends orders to engines and reads their state. Callbacks run asynchronously on the control
    thread. kStaleEpoch: refused for its fencing number. kOutcomeUnknown: the response was lost. */
class EngineOrders {
 public:
  virtual ~EngineOrders() = default;
  virtual void Order(const BackendServerName& server,
                     LoadOrder order,
                     std::function<void(Result<void>)> callback) = 0;
  virtual void ReadState(const BackendServerName& server,
                         std::function<void(Result<EngineState>)> callback) = 0;
};

}  // namespace zinnia
