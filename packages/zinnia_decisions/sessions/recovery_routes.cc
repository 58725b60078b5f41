#include "zinnia_decisions/sessions/recovery_routes.h"

#include <utility>

#include "zinnia_decisions/ports/snapshot_source.h"

namespace zinnia {
namespace {

/** Rejects routes with another version, which a chooser may return during a rollout or after a
    reload. */
Result<RouteChoice> RequireVersion(Result<RouteChoice> choice, const std::string& version) {
  if (!choice || version.empty() || choice->route.version == version) {
    return choice;
  }
  return MakeError(ErrorKind::kNoPipeline,
                   "no pipeline has version " + version + ", which generated the first tokens");
}

bool IsUsable(const Route& before,
              const Route& after,
              std::size_t hop,
              const std::set<BackendServerName>& excluded) {
  return before.hops.size() == after.hops.size() &&
         after.hops[hop].layers == before.hops[hop].layers &&
         !excluded.contains(after.hops[hop].server);
}

void ExcludeOtherVersion(const FleetSnapshot& fleet,
                         const Pipeline& pipeline,
                         const std::string& version,
                         std::set<BackendServerName>& excluded) {
  for (const PipelineStage& stage : pipeline.stages) {
    for (const BackendServerName& name : stage.replicas) {
      const auto view = fleet.servers.find(name);
      const bool holds_version = view != fleet.servers.end() && view->second.server.loaded &&
                                 view->second.server.loaded->version == version;
      if (!holds_version) {
        excluded.insert(name);
      }
    }
  }
}

}  // namespace

RecoveryRoutes::RecoveryRoutes(PipelineChooser& chooser, SnapshotSource& snapshots)
    : m_chooser(chooser), m_snapshots(snapshots) {}

Result<RouteChoice> RecoveryRoutes::Choose(RouteQuery query, const std::string& version) const {
  const auto fleet = m_snapshots.Current();
  query.excluded.merge(ExcludedIn(*fleet, query.model, version));
  return RequireVersion(m_chooser.Choose(*fleet, query), version);
}

Result<RouteChoice> RecoveryRoutes::Replace(const Route& route,
                                            std::size_t hop,
                                            RouteQuery query,
                                            const std::string& version) const {
  const auto fleet = m_snapshots.Current();
  query.excluded.merge(ExcludedIn(*fleet, query.model, version));
  auto replacement = RequireVersion(m_chooser.Replace(*fleet, route, hop, query), version);
  if (replacement && IsUsable(route, replacement->route, hop, query.excluded)) {
    return replacement;
  }
  return RequireVersion(m_chooser.Choose(*fleet, query), version);
}

void RecoveryRoutes::Exclude(const BackendServerName& server) {
  const auto fleet = m_snapshots.Current();
  const auto view = fleet->servers.find(server);
  m_failed_incarnations[server] =
      view == fleet->servers.end() ? 0 : view->second.server.incarnation;
}

bool RecoveryRoutes::IsExcluded(const BackendServerName& server) const {
  return m_failed_incarnations.contains(server);
}

std::set<BackendServerName> RecoveryRoutes::ExcludedIn(const FleetSnapshot& fleet,
                                                       const ModelName& model,
                                                       const std::string& version) const {
  std::set<BackendServerName> excluded;
  for (const auto& [server, incarnation] : m_failed_incarnations) {
    const auto view = fleet.servers.find(server);
    const bool restarted =
        view != fleet.servers.end() && view->second.server.incarnation > incarnation;
    if (!restarted) {
      excluded.insert(server);
    }
  }
  for (const Pipeline& pipeline : fleet.pipelines) {
    if (!version.empty() && pipeline.model == model && pipeline.version != version) {
      ExcludeOtherVersion(fleet, pipeline, version, excluded);
    }
  }
  return excluded;
}

}  // namespace zinnia
