#pragma once

#include <optional>
#include <set>
#include <vector>

#include "zinnia_world/forwarding/path_part.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class LoadBook;
class PipeMeter;
class ServerHealth;
struct EngineProfile;
struct ForwardingView;
struct ServerEntry;

/** What a request takes of the engines. */
struct GenerationSize {
  double prompt_tokens = 0.0;
  double answer_tokens = 0.0;  // Expected, and reserved in memory.
};

/** What a search for a path is bound to. */
struct PathConstraints {
  /** The first part of a request that is on its way and keeps its first server. */
  std::optional<PathPart> first = std::nullopt;

  /** All servers must be of this failure domain. */
  std::optional<FailureDomainName> only_domain = std::nullopt;
};

/** A path and the memory that it takes at each part, in token layers. */
struct FoundPath {
  LayerPath path;
  double expected_ms = 0.0;

  /** How long its prompt takes the pipe between failure domains, over all crossings. */
  double pipe_ms = 0.0;
};

/** Chooses the servers that run a request's layers: the path of least expected time whose servers
    all have memory for it.

    A server may run any part of the range that it holds. The search goes over the boundaries of
    held ranges and the failure domain reached, so its cost does not grow with the number of paths.
*/
class PathFinder {
 public:
  /** All must outlive it. */
  PathFinder(const LoadBook& loads, const ServerHealth& health, const PipeMeter& pipe)
      : m_loads(loads), m_health(health), m_pipe(pipe) {}

  /** Nothing if no path has room. `avoided` servers are left out. */
  std::optional<FoundPath> Find(const ForwardingView& view,
                                const ServiceName& service,
                                const GenerationSize& size,
                                const FailureDomainName& start,
                                const std::set<BackendServerName>& avoided,
                                const PathConstraints& constraints = {}) const;

 private:
  const LoadBook& m_loads;
  const ServerHealth& m_health;
  const PipeMeter& m_pipe;
};

/** The cache memory of a server in token layers. */
double TokenLayerCapacity(const EngineProfile& engine, const ServerEntry& server);

}  // namespace zinnia
