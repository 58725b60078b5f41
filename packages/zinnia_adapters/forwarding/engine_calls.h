#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/forwarding/path_part.h"

namespace zinnia {

/** A waiting request and the stalled server on its path. */
struct StalledRequest {
  std::string request_id;
  NetworkAddress server;
};

/** Report of the first server of a path about the requests that pass through it. */
struct EngineReport {
  std::vector<StalledRequest> stalled;

  /** The layers that the server holds, if reported. */
  std::optional<LayerRange> layers;

  /** Slowdown factor: the ratio of current to usual processing time. */
  double pace = 1.0;
};

/** Result of a reroute: kNotFound if the first server does not run the request, kBackendRejected if
    a part is missing or lacks capacity, kOutcomeUnknown without an answer. */
struct RerouteAnswer {
  Result<void> result{};

  /** The server that refused its part, if the answer names it. */
  std::optional<NetworkAddress> refused_by;
};

/** Result of a health check; kNone without an answer. */
enum class HealthAnswer { kNone, kTakesRequests, kRefuses };

/** Control calls to engines. Each callback runs once, asynchronously, on the traffic thread. */
class EngineCalls {
 public:
  virtual ~EngineCalls() = default;

  virtual void ReadReport(const PathPart& first,
                          std::function<void(Result<EngineReport>)> callback) = 0;

  /** Checks whether the server answers within a few tens of milliseconds. */
  virtual void Probe(const PathPart& server, std::function<void(bool)> callback) = 0;

  /** Queries `health_path` for whether the server accepts requests. */
  virtual void AskHealth(const PathPart& server,
                         const std::string& health_path,
                         std::function<void(HealthAnswer)> callback) = 0;

  /** Moves a running request to another path with the same first part. Unchanged parts
      keep their memory; new parts prefill the tokens so far. */
  virtual void Reroute(const std::string& request_id,
                       const LayerPath& path,
                       std::function<void(RerouteAnswer)> callback) = 0;
};

}  // namespace zinnia
