#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/paths/move_quotas.h"
#include "zinnia_decisions/forwarding/paths/recovery_chooser.h"
#include "zinnia_world/forwarding/path_part.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class PathFinder;
struct ForwardingView;

/** A stream that must leave a lost or draining server. */
struct MovingStream {
  std::string id;
  ServiceName service;
  GenerationSize size;

  /** The path that it leaves. */
  LayerPath present;

  /** Servers whose memory was refused to it; see MoveAttempts. */
  std::set<BackendServerName> refused;

  /** Servers that may still run it, on which it cannot begin again. */
  std::set<BackendServerName> present_firsts;

  /** Whether it may begin again on another first server. */
  bool may_restart = false;

  /** Expected time until it ends if it stays; nothing if its path delivers no more events. */
  std::optional<Duration> expected_rest;
};

/** What is to be done with a stream. */
struct MoveChoice {
  enum class Kind { kMove, kStay, kNoRoom };
  Kind kind = Kind::kNoRoom;

  /** Set for kMove and kStay. */
  std::optional<RecoveryPath> recovery;
};

/** Chooses replacement servers for the streams of prioritized services, so that the choices of
    different instances differ.

    Streams move only to servers on which MoveQuotas has room. Among replacement servers that hold
    the same layers in the same failure domain, one is drawn for each stream by a hash of instance,
    stream and server, weighted by the room there and inversely by the time until its prefill would
    be done. RecoveryChooser then decides among paths of different shape.
*/
class MoveChooser {
 public:
  /** Time for which the new parts of a refused path are not chosen by any stream of this instance,
      if the refusal names no server: about the delay of load reports. */
  static constexpr Duration kUnnamedRefusalTime = std::chrono::milliseconds(400);

  /** All references must outlive the object. */
  MoveChooser(const Clock& clock,
              const LoadTracker& loads,
              const ServerHealth& health,
              const PathFinder& paths,
              RecoveryChooser& recovery,
              const InstanceName& self);

  /** Call before the streams of lost servers are moved. */
  void OnServersLost(const ForwardingView& view, const std::vector<BackendServerName>& lost);

  /** Does not count the move; call OnMoved once it is sent. */
  MoveChoice Choose(const ForwardingView& view, const MovingStream& stream);

  void OnMoved(const ForwardingView& view,
               const MovingStream& stream,
               const RecoveryPath& recovery);

  /** A move was refused without naming a server. `parts` are the new parts of its path. */
  void OnUnnamedRefusal(const LayerPath& parts);

 private:
  using Servers = std::set<BackendServerName>;

  Servers LostServers(const ForwardingView& view, const MovingStream& stream) const;
  Servers ServersWithoutRoom(const ForwardingView& view, const MovingStream& stream) const;
  Servers ServersNotDrawn(const ForwardingView& view,
                          const MovingStream& stream,
                          const Servers& without_room) const;
  std::optional<RecoveryPath> FindPath(const ForwardingView& view,
                                       const MovingStream& stream,
                                       const Servers& avoided) const;
  std::optional<RecoveryPath> FindPathOverLink(const ForwardingView& view,
                                               const MovingStream& stream,
                                               const Servers& avoided) const;
  bool WasRefusedRecently(const BackendServerName& server) const;

  const Clock& m_clock;
  const ServerHealth& m_health;
  const PathFinder& m_paths;
  RecoveryChooser& m_recovery;
  const InstanceName m_self;
  MoveQuotas m_quotas;
  std::map<BackendServerName, TimePoint> m_refused_until;
};

}  // namespace zinnia
