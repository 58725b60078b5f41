#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/routing/pipeline_chooser.h"
#include "zinnia_world/fleet/pipeline.h"

namespace zinnia {

class SnapshotSource;

/** Chooses the initial and replacement routes of one session.

    A failed server is excluded until it restarts. After the first token, servers with another
    version of the model are excluded as well, since an answer must come from a single version.
*/
class RecoveryRoutes {
 public:
  RecoveryRoutes(PipelineChooser& chooser, SnapshotSource& snapshots);

  /** Chooses a complete route; an empty `version` allows any. Fails like PipelineChooser::Choose,
      and with kNoPipeline if only other versions are available. */
  Result<RouteChoice> Choose(RouteQuery query, const std::string& version) const;

  /** Replaces the server of one hop (possibly by the same one after a restart), or else chooses
      another complete route. */
  Result<RouteChoice> Replace(const Route& route,
                              std::size_t hop,
                              RouteQuery query,
                              const std::string& version) const;

  /** Excludes the current incarnation of a server. */
  void Exclude(const BackendServerName& server);
  bool IsExcluded(const BackendServerName& server) const;

 private:
  std::set<BackendServerName> ExcludedIn(const FleetSnapshot& fleet,
                                         const ModelName& model,
                                         const std::string& version) const;

  PipelineChooser& m_chooser;
  SnapshotSource& m_snapshots;
  std::map<BackendServerName, std::uint64_t> m_failed_incarnations;
};

}  // namespace zinnia
