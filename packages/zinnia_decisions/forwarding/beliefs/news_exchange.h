#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/forwarding/beliefs/news_report.h"
#include "zinnia_decisions/ports/news_transport.h"

namespace zinnia {

class InstanceDirectory;
class StoreMirror;

/** Hears what peers told. Called on the control thread. */
class NewsSink {
 public:
  virtual ~NewsSink() = default;
  /** A peer of the own failure domain. */
  virtual void OnPeerUses(const InstanceName& instance, LoadBook::Uses uses) = 0;
  virtual void OnDomainUses(const FailureDomainName& domain, LoadBook::Uses uses) = 0;
  virtual void OnPeerStall(const StallNews& stall) = 0;
  virtual void OnPeerLayers(const LayersNews& news) = 0;
  virtual void OnPeerPaces(const std::vector<PaceNews>& slow_servers) = 0;
};

/** Intervals of NewsExchange. */
struct NewsSettings {
  /** How often each peer gets a report; loads are this old when a path is chosen. */
  std::chrono::milliseconds interval{200};

  /** Peers told in one interval, in the own failure domain and in others. With more, they take
      turns, so that the cost of an instance does not grow with the fleet. Paths rarely leave a
      failure domain, and bytes between domains are dear. */
  std::size_t most_near_peers_at_once = 16;
  std::size_t most_far_peers_at_once = 2;
};

/** Tells peers what this instance has in flight and found stalled, and fills the gaps of its copy
    of the store from theirs: the store may refuse one instance while it serves the others.

    Reports and their answers say how far each side knows the records; who is behind fetches them
    from one peer. Were each answer to carry them, sixteen peers would send the same configuration
    at once, and on a slow link none of the copies would arrive within its limit.

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

  /** What to tell of the traffic from now on: this instance's own, and the sum over its domain. */
  void SetUses(LoadBook::Uses own, LoadBook::Uses domain) {
    m_uses = std::move(own);
    m_domain_sum = std::move(domain);
  }

  /** Tells peers, with the next reports to each, what a server said of its layers. */
  void TellLayers(const LayersNews& news) { m_layers[news.server] = {m_clock.Now(), news.layers}; }

  /** Servers that this instance knows to be slow, by its own questions or by peers. */
  void SetSlowServers(std::vector<PaceNews> servers) { m_slow_servers = std::move(servers); }

  /** Tells all peers at once: each millisecond later costs callers a pause. */
  void TellStall(const BackendServerName& server);

  /** Tells the own failure domain at once how far the store's records are known now, if others of
      it rely on this instance for that. */
  void TellAdvance();

  void TellLeaving();

  /** Decides whether this instance waits briefly for the store's changes: two in each failure
     domain do, and every one that has not heard from a reader of its domain lately. */
  bool ShouldRead() const;

  /** Whether this instance is one of the two. */
  bool IsNamedReader() const;

  /** Whether some peer said lately that the store serves it without failures. */
  bool SomePeerIsSteady() const;

  MirrorDelta OnNews(const NewsReport& report) override;

 private:
  void Tick();
  NewsReport MakeReport(bool to_near);
  void SendToAll();
  void SendInTurn(const std::vector<NetworkAddress>& peers,
                  std::size_t most,
                  std::size_t& next,
                  bool are_near);
  std::vector<NetworkAddress> OtherReaders() const;
  void OnDomainNews(const NewsReport& report, bool is_near);
  void Send(const NetworkAddress& peer, bool is_near);

  /** Called when `peer` turns out to know the store's records up to `revision`. */
  void FetchIfNewer(const NetworkAddress& peer, bool is_near, std::uint64_t revision);

  NewsTransport& m_transport;
  Scheduler& m_scheduler;
  const Clock& m_clock;
  InstanceDirectory& m_instances;
  StoreMirror& m_mirror;
  NewsSink& m_sink;
  const std::vector<NetworkAddress> m_seeds;
  const NewsSettings m_settings;
  LoadBook::Uses m_uses;
  LoadBook::Uses m_domain_sum;
  std::vector<PaceNews> m_slow_servers;
  std::map<BackendServerName, std::pair<TimePoint, LayerRange>> m_layers;

  /** A reader's: what other readers said of their domains, and when. */
  std::map<FailureDomainName, std::pair<TimePoint, LoadBook::Uses>> m_other_domains;
  std::map<BackendServerName, TimePoint> m_stalls;
  bool m_leaving = false;
  std::optional<TimePoint> m_steady_peer_heard_at;
  std::optional<TimePoint> m_reader_heard_at;
  std::optional<TimePoint> m_fetch_began_at;
  std::uint64_t m_fetch_number = 0;
  std::uint64_t m_told_revision = 0;
  std::size_t m_next_near = 0;
  std::size_t m_next_far = 0;
  std::unique_ptr<ScheduledCall> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
