#pragma once

#include <optional>
#include <set>

#include "zinnia_decisions/forwarding/beliefs/reading_backlog.h"
#include "zinnia_decisions/forwarding/paths/path_finder.h"
#include "zinnia_world/forwarding/path_part.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class Clock;
class LoadTracker;
class ServerHealth;
struct ForwardingView;

/** Where a stream goes on. */
struct RecoveryPath {
  FoundPath found;

  /** The first server stays: only the new parts read the tokens so far. Otherwise the stream starts
      again after its last event, at other servers, and costs a retry. */
  bool keeps_first = false;

  /** Until all tokens so far are read and events come again. */
  double expected_pause_ms = 0.0;
};

/** Chooses where a running stream goes on after a server of its path was lost.

    What fails without it: all streams of a lost server keep their first server and go round the gap
    by the same spare holders, or over the pipe between failure domains, and stand still until all
    of them have been read there, one after the other. One notices answers that are late by one
    pause, all at the moment of a loss. Whole paths in other failure domains read faster together,
    so streams are spread by who is through first.

    Never proposes a path over the pipe; callers fall back on PathFinder where nothing else is left.
*/
class RecoveryChooser {
 public:
  /** All must outlive it. */
  RecoveryChooser(const Clock& clock,
                  const PathFinder& paths,
                  const LoadTracker& loads,
                  const ServerHealth& health)
      : m_paths(paths), m_loads(loads), m_health(health), m_backlog(clock) {}

  /** `present` is the path that broke; empty if its first server is lost too. `may_start_again`: a
      retry can be spent. Notes the reading that the choice causes. */
  std::optional<RecoveryPath> Choose(const ForwardingView& view,
                                     const ServiceName& service,
                                     const GenerationSize& size,
                                     const LayerPath& present,
                                     const std::set<BackendServerName>& avoided,
                                     bool may_start_again);

 private:
  void Consider(const ForwardingView& view,
                const EngineProfile& engine,
                const GenerationSize& size,
                const LayerPath& kept,
                std::optional<FoundPath> found,
                std::optional<RecoveryPath>& best) const;
  double ReadingMs(const ForwardingView& view,
                   const EngineProfile& engine,
                   const GenerationSize& size,
                   const PathPart& part) const;

  const PathFinder& m_paths;
  const LoadTracker& m_loads;
  const ServerHealth& m_health;
  ReadingBacklog m_backlog;
};

}  // namespace zinnia
