#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/fleet/fleet_snapshot.h"
#include "zinnia_world/fleet/pipeline.h"

namespace zinnia {

/** What a chooser needs to know of the work: how many tokens it has to read and may write, and
   which servers must not be used (they failed this session, or hold an older version). */
struct RouteQuery {
  ModelName model;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
  std::uint64_t prefix_hash = 0;
  std::set<BackendServerName> excluded;
};

/** A chosen route with what it is expected to cost and why it was chosen. */
struct RouteChoice {
  Route route;
  Duration expected_first_token{};
  Duration expected_between_tokens{};
  std::string reason;
};

/** Chooses the pipeline and one backend server for each of its stages.

    Only servers in state kLive, or kSuspect if a stage has no other, are chosen. Fails with
    kUnknownModel or kNoPipeline. One chooser serves one traffic thread: what it sent since the last
    load report is its own memory, told by OnSent and OnFinished.

    @see FleetSnapshot, CompletionChooser, RoundRobinChooser
*/
class PipelineChooser {
 public:
  virtual ~PipelineChooser() = default;

  virtual Result<RouteChoice> Choose(const FleetSnapshot& fleet, const RouteQuery& query) = 0;

  /** Chooses another server for hop `hop` of `route`, the rest staying as it is. */
  virtual Result<RouteChoice> Replace(const FleetSnapshot& fleet,
                                      const Route& route,
                                      std::size_t hop,
                                      const RouteQuery& query) = 0;

  virtual void OnSent(const Route& route, const RouteQuery& query) = 0;
  virtual void OnFinished(const Route& route, const RouteQuery& query) = 0;
};

}  // namespace zinnia
