#pragma once

#include <optional>
#include <set>

#include "zinnia_decisions/forwarding/observed_state/prefill_backlog.h"
#include "zinnia_decisions/forwarding/paths/path_finder.h"
#include "zinnia_world/forwarding/path_part.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class Clock;
class LoadTracker;
class ServerHealth;
struct ForwardingView;

/** Path on which a stream resumes. */
struct RecoveryPath {
  FoundPath found;

  /** Whether the first server is kept, so that only the new parts prefill the tokens generated so
      far. Otherwise the stream restarts after its last event on other servers, which costs a retry.
  */
  bool keeps_first_server = false;

  /** Expected time until events arrive again. */
  double expected_pause_ms = 0.0;
};

/** Chooses the path on which a running stream resumes after it lost a server.

    Streams that all keep their first server and use the same replacement would queue there for
    prefill, one after the other. The chooser tracks the prefill it has caused and spreads streams
    by the shortest expected pause, also over complete paths in other failure domains.

    Never returns a path over the inter-domain link; callers fall back to PathFinder.
*/
class RecoveryChooser {
 public:
  /** All references must outlive the object. */
  RecoveryChooser(const Clock& clock,
                  const PathFinder& paths,
                  const LoadTracker& loads,
                  const ServerHealth& health)
      : m_paths(paths), m_loads(loads), m_health(health), m_backlog(clock) {}

  /** Adds the prefill of the chosen path to the backlog. `present` is the broken path, empty if its
      first server is lost too. `may_restart` tells whether a retry is available. */
  std::optional<RecoveryPath> Choose(const ForwardingView& view,
                                     const ServiceName& service,
                                     const GenerationSize& size,
                                     const LayerPath& present,
                                     const std::set<BackendServerName>& avoided,
                                     bool may_restart);

  /** The same without adding to the backlog. */
  std::optional<RecoveryPath> Find(const ForwardingView& view,
                                   const ServiceName& service,
                                   const GenerationSize& size,
                                   const LayerPath& present,
                                   const std::set<BackendServerName>& avoided,
                                   bool may_restart) const;

  /** Adds the prefill of the path's new parts to the backlog, multiplied by `instances`: the number
      of instances that add as much at the same time. */
  void AddToBacklog(const ForwardingView& view,
                    const ServiceName& service,
                    const GenerationSize& size,
                    const LayerPath& present,
                    const RecoveryPath& recovery,
                    double instances);

  /** Time until the part's server has done the backlog and the prefill of this stream. */
  double PrefillDoneMs(const ForwardingView& view,
                       const EngineProfile& engine,
                       const GenerationSize& size,
                       const PathPart& part) const {
    return m_backlog.WaitMs(part.server) + PrefillMs(view, engine, size, part);
  }

 private:
  void Consider(const ForwardingView& view,
                const EngineProfile& engine,
                const GenerationSize& size,
                const LayerPath& kept,
                std::optional<FoundPath> found,
                std::optional<RecoveryPath>& best) const;
  double PrefillMs(const ForwardingView& view,
                   const EngineProfile& engine,
                   const GenerationSize& size,
                   const PathPart& part) const;

  const PathFinder& m_paths;
  const LoadTracker& m_loads;
  const ServerHealth& m_health;
  PrefillBacklog m_backlog;
};

}  // namespace zinnia
