#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/forwarding/news_report.h"
#include "zinnia_decisions/ports/news_transport.h"

namespace zinnia {

class InstanceDirectory;
class StoreMirror;

/** Hears what peers told. Called on the control thread. */
class NewsSink {
 public:
  virtual ~NewsSink() = default;
  virtual void OnPeerUses(const InstanceName& instance, LoadBook::Uses uses) = 0;
  virtual void OnPeerStall(const StallNews& stall) = 0;
};

/** Intervals of NewsExchange. */
struct NewsSettings {
  /** How often each peer gets a report; loads are this old when a path is chosen. */
  std::chrono::milliseconds interval{200};

  /** Peers told in one interval, in the own failure domain and in others. With more, they take
      turns, so that the cost of an instance does not grow with the fleet. Paths rarely leave a
      failure domain, and bytes between domains are dear. */
  std::size_t most_near_peers_at_once = 8;
  std::size_t most_far_peers_at_once = 3;
};

/** Tells peers what this instance has in flight and found stalled, and fills the gaps of its copy
    of the store from theirs: the store may refuse one instance while it serves the others.

    @see StoreMirror
*/
class NewsExchange final : public NewsListener {
 public:
  /** All must outlive it. `seeds` are asked while no peer is known. */
  NewsExchange(NewsTransport& transport,
               Scheduler& scheduler,
               const Clock& clock,
               InstanceDirectory& instances,
               StoreMirror& mirror,
               NewsSink& sink,
               std::vector<NetworkAddress> seeds,
               NewsSettings settings);

  void Start();

  /** What to tell of the traffic from now on. */
  void SetUses(LoadBook::Uses uses) { m_uses = std::move(uses); }

  /** Tells all peers at once: each millisecond later costs callers a pause. */
  void TellStall(const BackendServerName& server);

  void TellLeaving();

  /** Decides whether this instance waits briefly for the store's changes: one in each failure domain
      does, and every one that has not heard from its domain's reader lately. */
  bool ShouldRead() const;

  /** Whether some peer said lately that the store serves it without failures. */
  bool SomePeerIsSteady() const;

  MirrorDelta OnNews(const NewsReport& report) override;

 private:
  void Tick();
  NewsReport MakeReport();
  std::vector<NetworkAddress> AllPeers() const;
  void SendInTurn(const std::vector<NetworkAddress>& peers, std::size_t most, std::size_t& next);
  void Send(const NetworkAddress& peer);

  NewsTransport& m_transport;
  Scheduler& m_scheduler;
  const Clock& m_clock;
  InstanceDirectory& m_instances;
  StoreMirror& m_mirror;
  NewsSink& m_sink;
  const std::vector<NetworkAddress> m_seeds;
  const NewsSettings m_settings;
  LoadBook::Uses m_uses;
  std::map<BackendServerName, TimePoint> m_stalls;
  bool m_leaving = false;
  std::optional<TimePoint> m_steady_peer_heard_at;
  std::optional<TimePoint> m_reader_heard_at;
  std::size_t m_next_near = 0;
  std::size_t m_next_far = 0;
  std::unique_ptr<ScheduledCall> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
