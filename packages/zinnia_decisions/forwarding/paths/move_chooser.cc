#include "zinnia_decisions/forwarding/paths/move_chooser.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>
#include <utility>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/server_health.h"
#include "zinnia_decisions/forwarding/streams/move_attempts.h"

namespace zinnia {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

/** Lower bound of the prefill time in weights, so that idle fast servers don't attract all. */
constexpr double kMinPrefillMs = 10.0;

const EngineProfile* EngineOf(const ForwardingView& view, const ServiceName& service) {
  const auto found = view.rules->services.find(service);
  return found == view.rules->services.end() || !found->second.engine ? nullptr
                                                                      : &*found->second.engine;
}

/** The part of a server's layers that a path uses. */
double ShareOfLayers(const LayerRange& used, const LayerRange& held) {
  return static_cast<double>(used.Count()) / std::max(1U, held.Count());
}

/** The layers that the server may take over; all of its layers if the stream would restart. */
LayerRange LayersToMove(const LayerPath& present, const LayerRange& held) {
  const std::uint32_t kept_end = present.empty() ? 0 : present.front().layers.end;
  return held.end > kept_end ? LayerRange{std::max(held.first, kept_end), held.end} : held;
}

bool IsOnPath(const LayerPath& path, const BackendServerName& server) {
  return std::any_of(path.begin(), path.end(),
                     [&](const PathPart& part) { return part.server == server; });
}

/** Returns an exponentially distributed number with mean `1 / weight`. The least of several belongs
    to each with a probability in proportion to its weight. */
double DrawFor(const std::string& key, double weight) {
  constexpr int kUnitBits = 53;  // Precision of a double.
  const auto bits = static_cast<double>((Hash64(key) >> (64 - kUnitBits)) + 1);
  return -std::log(std::ldexp(bits, -kUnitBits)) / weight;
}

}  // namespace

MoveChooser::MoveChooser(const Clock& clock,
                         const LoadTracker& loads,
                         const ServerHealth& health,
                         const PathFinder& paths,
                         RecoveryChooser& recovery,
                         const InstanceName& self)
    : m_clock(clock),
      m_health(health),
      m_paths(paths),
      m_recovery(recovery),
      m_self(self),
      m_quotas(clock, loads, health, self) {}

void MoveChooser::OnServersLost(const ForwardingView& view,
                                const std::vector<BackendServerName>& lost) {
  if (view.rules) {
    m_quotas.OnServersLost(view, {lost.begin(), lost.end()});
  }
}

MoveChoice MoveChooser::Choose(const ForwardingView& view, const MovingStream& stream) {
  if (EngineOf(view, stream.service) == nullptr) {
    return {};
  }
  m_quotas.OnServersLost(view, LostServers(view, stream));
  std::erase_if(m_refused_until,
                [now = m_clock.Now()](const auto& entry) { return entry.second <= now; });

  const Servers without_room = ServersWithoutRoom(view, stream);
  Servers avoided = ServersNotDrawn(view, stream, without_room);
  avoided.insert(without_room.begin(), without_room.end());
  MoveChoice choice;
  choice.recovery = FindPath(view, stream, avoided);
  if (!choice.recovery) {
    choice.recovery = FindPath(view, stream, without_room);
  }
  if (!choice.recovery) {
    choice.recovery = FindPathOverLink(view, stream, without_room);
  }
  if (!choice.recovery) {
    return choice;
  }
  const bool ends_before =
      stream.expected_rest &&
      *stream.expected_rest <= Milliseconds(choice.recovery->expected_pause_ms);
  choice.kind = ends_before ? MoveChoice::Kind::kStay : MoveChoice::Kind::kMove;
  return choice;
}

/** If no server of the path is known to be lost, any part but the first may be. */
MoveChooser::Servers MoveChooser::LostServers(const ForwardingView& view,
                                              const MovingStream& stream) const {
  Servers lost;
  Servers later;
  for (const PathPart& part : stream.present) {
    const auto server = view.servers.find(part.server);
    if (server == view.servers.end() || server->second.draining ||
        m_health.IsExcluded(part.server)) {
      lost.insert(part.server);
    }
    if (part.layers.first > 0) {
      later.insert(part.server);
    }
  }
  return lost.empty() ? later : lost;
}

std::optional<RecoveryPath> MoveChooser::FindPath(const ForwardingView& view,
                                                  const MovingStream& stream,
                                                  const Servers& avoided) const {
  auto found = m_recovery.Find(view, stream.service, stream.size, stream.present, avoided,
                               stream.may_restart);
  if (found && !found->keeps_first_server &&
      stream.present_firsts.contains(found->found.path.front().server)) {
    Servers others = avoided;
    others.insert(stream.present_firsts.begin(), stream.present_firsts.end());
    found = m_recovery.Find(view, stream.service, stream.size, {}, others, true);
  }
  return found;
}

/** RecoveryChooser returns no path over the inter-domain link. */
std::optional<RecoveryPath> MoveChooser::FindPathOverLink(const ForwardingView& view,
                                                          const MovingStream& stream,
                                                          const Servers& avoided) const {
  if (stream.present.empty()) {
    return std::nullopt;
  }
  const PathPart& first = stream.present.front();
  const auto entry = view.servers.find(first.server);
  if (entry == view.servers.end()) {
    return std::nullopt;
  }
  auto found = m_paths.Find(view, stream.service, stream.size, entry->second.failure_domain,
                            avoided, {first});
  if (!found) {
    return std::nullopt;
  }
  RecoveryPath recovery{std::move(*found), true, 0.0};
  for (const PathPart& part : NewParts(stream.present, recovery.found.path)) {
    recovery.expected_pause_ms +=
        m_recovery.PrefillDoneMs(view, *EngineOf(view, stream.service), stream.size, part);
  }
  return recovery;
}

MoveChooser::Servers MoveChooser::ServersWithoutRoom(const ForwardingView& view,
                                                     const MovingStream& stream) const {
  Servers without_room = stream.refused;
  for (const auto& [name, server] : view.servers) {
    const double part = ShareOfLayers(LayersToMove(stream.present, server.layers), server.layers);
    const bool keeps_memory = IsOnPath(stream.present, name);
    if (server.service == stream.service &&
        (WasRefusedRecently(name) || (!keeps_memory && !m_quotas.HasRoom(name, part)))) {
      without_room.insert(name);
    }
  }
  return without_room;
}

MoveChooser::Servers MoveChooser::ServersNotDrawn(const ForwardingView& view,
                                                  const MovingStream& stream,
                                                  const Servers& without_room) const {
  const EngineProfile& engine = *EngineOf(view, stream.service);
  struct Draw {
    BackendServerName server;
    double value = 0.0;
  };
  std::map<std::tuple<FailureDomainName, std::uint32_t, std::uint32_t>, Draw> drawn;
  Servers not_drawn;
  for (const auto& [name, server] : view.servers) {
    if (server.service != stream.service || without_room.contains(name) ||
        IsOnPath(stream.present, name)) {
      continue;
    }
    const PathPart part{name, server.address, LayersToMove(stream.present, server.layers)};
    const double prefill_ms = m_recovery.PrefillDoneMs(view, engine, stream.size, part);
    const double weight = m_quotas.Room(name) / std::max(kMinPrefillMs, prefill_ms);
    const double value = DrawFor(m_self + "/" + stream.id + "/" + name, weight);
    const auto [best, is_new] =
        drawn.try_emplace({server.failure_domain, server.layers.first, server.layers.end});
    if (is_new || value < best->second.value) {
      if (!is_new) {
        not_drawn.insert(best->second.server);
      }
      best->second = {name, value};
    } else {
      not_drawn.insert(name);
    }
  }
  return not_drawn;
}

void MoveChooser::OnMoved(const ForwardingView& view,
                          const MovingStream& stream,
                          const RecoveryPath& recovery) {
  if (EngineOf(view, stream.service) == nullptr) {
    return;
  }
  const LayerPath kept = recovery.keeps_first_server ? stream.present : LayerPath();
  for (const PathPart& part : NewParts(kept, recovery.found.path)) {
    const auto server = view.servers.find(part.server);
    m_quotas.Add(part.server, server == view.servers.end()
                                  ? 1.0
                                  : ShareOfLayers(part.layers, server->second.layers));
  }
  m_recovery.AddToBacklog(view, stream.service, stream.size, stream.present, recovery,
                          1.0 + m_quotas.OthersRatio(stream.service));
}

void MoveChooser::OnUnnamedRefusal(const LayerPath& parts) {
  for (const PathPart& part : parts) {
    m_refused_until[part.server] = m_clock.Now() + kUnnamedRefusalTime;
  }
}

bool MoveChooser::WasRefusedRecently(const BackendServerName& server) const {
  const auto refused = m_refused_until.find(server);
  return refused != m_refused_until.end() && refused->second > m_clock.Now();
}

}  // namespace zinnia
