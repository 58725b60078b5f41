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

class FleetQuotas;
class IdleConnections;
class LoadTracker;
class InterDomainLinkMeter;
class ServerHealth;
class ServerLimits;
struct AcceleratorProfile;
struct EngineProfile;
struct ForwardingView;
struct ServerCapacity;
struct ServerEntry;
struct ServerUse;

/** Size of a request, in tokens. */
struct GenerationSize {
  double prompt_tokens = 0.0;
  double answer_tokens = 0.0;  // Expected; memory is reserved for them.

  /** Share of this instance's quotas that the request may use, from 0 to 1. No effect in a
      PathFinder without quotas. */
  double quota_share = 1.0;
};

/** Restrictions on a path search. */
struct PathConstraints {
  /** First part of a running request, which keeps its first server. */
  std::optional<PathPart> first = std::nullopt;

  /** Restricts the path to servers of this failure domain. */
  std::optional<FailureDomainName> only_domain = std::nullopt;

  /** The server that a running stream has lost. With quotas, the memory of replacements is divided
      by the streams that each instance had there. */
  std::optional<BackendServerName> lost_server = std::nullopt;
};

/** A path and its expected cost. */
struct FoundPath {
  LayerPath path;
  double expected_ms = 0.0;

  /** Time the prompt occupies the inter-domain link, summed over all crossings. */
  double link_ms = 0.0;
};

/** Finds the path with the lowest expected time whose servers all have memory for the request.

    The search runs over the boundaries of the held layer ranges and the failure domain reached, so
    its cost does not grow with the number of paths. A server may run any part of the range it
    holds.

    Instances that choose from the same load reports would all take the same path until the next
    report. Large pools are therefore sampled per request, and random jitter that grows with the
    number of instances decides between servers of nearly equal cost.
*/
class PathFinder {
 public:
  /** All references must outlive the object, as must `quotas`. Without `quotas`, and for services
      that are not prioritized, nothing limits this instance's share of a server. */
  PathFinder(const LoadTracker& loads,
             const ServerHealth& health,
             const ServerLimits& limits,
             const InterDomainLinkMeter& link_meter,
             const IdleConnections& connections,
             RandomSource& random,
             const FleetQuotas* quotas = nullptr)
      : m_loads(loads),
        m_health(health),
        m_limits(limits),
        m_link_meter(link_meter),
        m_connections(connections),
        m_random(random),
        m_quotas(quotas) {}

  /** Returns nothing if no path has enough capacity. Servers in `avoided` are not used. */
  std::optional<FoundPath> Find(const ForwardingView& view,
                                const ServiceName& service,
                                const GenerationSize& size,
                                const FailureDomainName& start,
                                const std::set<BackendServerName>& avoided,
                                const PathConstraints& constraints = {}) const;

  /** A server with the values that one search needs. */
  struct Candidate {
    const ServerEntry* entry = nullptr;
    std::size_t domain = 0;
    double ms_per_layer = 0.0;

    /** Time to prefill the request's prompt, including the wait for other prompts. */
    double first_event_ms_per_layer = 0.0;
    double free_token_layers = 0.0;

    /** Recently observed delay of first events at this server. */
    double first_event_delay_ms = 0.0;

    /** Whether an idle connection to this server exists. */
    bool has_connection = false;

    /** Whether the server accepts another request as its first server. */
    bool can_start_request = true;
  };

 private:
  /** Servers considered by a search. */
  struct SearchSpace {
    std::vector<Candidate> candidates;
    std::map<FailureDomainName, std::size_t> domains;
    std::size_t start_domain = 0;
  };

  Candidate MakeCandidate(const EngineProfile& engine,
                          const AcceleratorProfile& accelerator,
                          const GenerationSize& size,
                          const ServerEntry& server) const;
  void LimitToQuotas(const ForwardingView& view,
                     const EngineProfile& engine,
                     const ServiceName& service,
                     const GenerationSize& size,
                     const PathConstraints& constraints,
                     std::vector<Candidate>& candidates) const;
  double JitterFactor() const;
  std::optional<SearchSpace> SampleFirstServers(const SearchSpace& space) const;
  std::optional<FoundPath> SearchPath(const ForwardingView& view,
                                      const EngineProfile& engine,
                                      const GenerationSize& size,
                                      const SearchSpace& space,
                                      const std::optional<PathPart>& first) const;

  const LoadTracker& m_loads;
  const ServerHealth& m_health;
  const ServerLimits& m_limits;
  const InterDomainLinkMeter& m_link_meter;
  const IdleConnections& m_connections;
  RandomSource& m_random;
  const FleetQuotas* const m_quotas;
};

/** Returns what a server can run at once, and what of it requests may use. */
ServerCapacity CapacityOf(const EngineProfile& engine, const ServerEntry& server);

/** Returns the cache memory of a server in token-layers. */
double TokenLayerCapacity(const EngineProfile& engine, const ServerEntry& server);

/** Returns whether `use` is high enough to explain that the server refuses requests. */
bool IsNearlyFull(const EngineProfile& engine, const ServerEntry& server, const ServerUse& use);

}  // namespace zinnia
