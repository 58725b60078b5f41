#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/fleet/fleet_snapshot.h"
#include "zinnia_world/fleet/pipeline.h"

namespace zinnia {

/** A request to be routed: the model, the expected prompt and output lengths in tokens, the hash of
    the prompt prefix (0 if there is none) and the servers to leave out. */
struct RouteQuery {
  ModelName model;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
  std::uint64_t prefix_hash = 0;
  std::set<BackendServerName> excluded;
};

/** A route with its predicted latencies and the reason for the choice. */
struct RouteChoice {
  Route route;
  Duration expected_time_to_first_token{};
  Duration expected_inter_token_latency{};
  std::string reason;
};

/** Chooses a pipeline and one backend server for each of its stages.

    Only servers in state kLive are chosen, or kSuspect if a stage has no live one. Fails with
    kUnknownModel or kNoPipeline. Not thread-safe: each traffic thread has its own chooser, which
    tracks the sessions that it routes through OnSent and OnFinished.

    @see FleetSnapshot, CompletionChooser, RoundRobinChooser
*/
class PipelineChooser {
 public:
  virtual ~PipelineChooser() = default;

  virtual Result<RouteChoice> Choose(const FleetSnapshot& fleet, const RouteQuery& query) = 0;

  /** Chooses another server for hop `hop` of `route` and keeps the other hops. */
  virtual Result<RouteChoice> Replace(const FleetSnapshot& fleet,
                                      const Route& route,
                                      std::size_t hop,
                                      const RouteQuery& query) = 0;

  virtual void OnSent(const Route& route, const RouteQuery& query) = 0;
  virtual void OnFinished(const Route& route, const RouteQuery& query) = 0;
};

}  // namespace zinnia
