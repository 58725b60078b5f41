#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "zinnia_base/random/random_source.h"
#include "zinnia_world/forwarding/path_part.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class KeptConnections;
class LoadTracker;
class PipeMeter;
class ServerHealth;
class ServerLimits;
struct AcceleratorProfile;
struct EngineProfile;
struct ForwardingView;
struct ServerEntry;
struct ServerUse;

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

    Where many instances choose from the same news of loads, all would take the same best path until
    the next news, and first events would be late on a calm day. So in large pools each request
    looks at a few first servers, drawn anew, most of them near, and the more others choose at the
    same time the more it lets chance decide between servers that are nearly equal.

    A server may run any part of the range that it holds. The search goes over the boundaries of
    held ranges and the failure domain reached, so its cost does not grow with the number of paths.
*/
class PathFinder {
 public:
  /** All must outlive it. */
  PathFinder(const LoadTracker& loads,
             const ServerHealth& health,
             const ServerLimits& limits,
             const PipeMeter& pipe,
             const KeptConnections& connections,
             RandomSource& random)
      : m_loads(loads),
        m_health(health),
        m_limits(limits),
        m_pipe(pipe),
        m_connections(connections),
        m_random(random) {}

  /** Nothing if no path has room. `avoided` servers are left out. */
  std::optional<FoundPath> Find(const ForwardingView& view,
                                const ServiceName& service,
                                const GenerationSize& size,
                                const FailureDomainName& start,
                                const std::set<BackendServerName>& avoided,
                                const PathConstraints& constraints = {}) const;

  /** A server as one search sees it. */
  struct Candidate {
    const ServerEntry* entry = nullptr;
    std::size_t domain = 0;
    double ms_per_layer = 0.0;

    /** For the request's prompt: reading it, and waiting while others' are read. */
    double first_event_ms_per_layer = 0.0;
    double free_token_layers = 0.0;

    /** How long first events took there lately. */
    double wait_ms = 0.0;

    /** Whether a request that begins there needs no new connection. */
    bool has_connection = false;

    /** Whether one more request may begin there. */
    bool may_begin = true;
  };

 private:
  /** The servers that a search looks at. */
  struct SearchSpace {
    std::vector<Candidate> candidates;
    std::map<FailureDomainName, std::size_t> domains;
    std::size_t start_domain = 0;
  };

  Candidate Describe(const EngineProfile& engine,
                     const AcceleratorProfile& accelerator,
                     const GenerationSize& size,
                     const ServerEntry& server) const;
  double ChanceFactor() const;
  std::optional<SearchSpace> DrawFew(const SearchSpace& space) const;
  std::optional<FoundPath> RunIn(const ForwardingView& view,
                                 const EngineProfile& engine,
                                 const GenerationSize& size,
                                 const SearchSpace& space,
                                 const std::optional<PathPart>& first) const;

  const LoadTracker& m_loads;
  const ServerHealth& m_health;
  const ServerLimits& m_limits;
  const PipeMeter& m_pipe;
  const KeptConnections& m_connections;
  RandomSource& m_random;
};

/** The cache memory of a server in token layers. */
double TokenLayerCapacity(const EngineProfile& engine, const ServerEntry& server);

/** Whether `use` explains that the server takes no more requests. */
bool LooksFull(const EngineProfile& engine, const ServerEntry& server, const ServerUse& use);

}  // namespace zinnia
